/**
 * Settings of a load balancer as a deployment writes them, and their translation into
 * {@link gaugegw.balancer.api.BalancerSettings}.
 *
 * <p>The simulator spells the settings out on a line and a proxy's configuration nests them in JSON. Both are put into a
 * {@link gaugegw.settings.SettingsTree}, which {@link gaugegw.settings.SettingsReader} reads; the names that a
 * deployment uses are known there and nowhere else. The package depends on {@code gaugegw.balancer.api} alone.
 */
package gaugegw.settings;
