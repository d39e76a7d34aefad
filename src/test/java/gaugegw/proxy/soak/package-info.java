/**
 * A soak test: real processes under faults that a seed chooses, with clients, backends and discovery on loopback sockets
 * in the test's own process. Each run is the life of one proxy, from its start to SIGKILL. {@link
 * gaugegw.proxy.soak.SoakCommand} plays many seeds by hand, {@link gaugegw.proxy.soak.SoakTest} a few in each build.
 */
package gaugegw.proxy.soak;
