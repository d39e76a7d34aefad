/** The log for the operators, on standard error. Depends on nothing else. */
package gaugegw.proxy.logging;
