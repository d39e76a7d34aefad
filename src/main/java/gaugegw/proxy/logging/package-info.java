/** The log for the operators, on standard error. Depends on the Java library only. */
package gaugegw.proxy.logging;
