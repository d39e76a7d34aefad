/** Fixtures for tests of the decision module: settings, request classes and endpoints, each with named defaults. */
package gaugegw.balancer.testing;
