/** Fixtures for tests of the load balancer: settings, request classes and endpoints, each with named defaults. */
package gaugegw.balancer.testing;
