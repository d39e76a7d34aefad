/**
 * Converts settings as deployments write them into {@link gaugegw.balancer.api.BalancerSettings}.
 *
 * <p>The simulator sends the settings as fields of one line, and the configuration of a proxy nests them in JSON. Both
 * are put into a {@link gaugegw.settings.SettingsTree}, which {@link gaugegw.settings.SettingsReader} reads. The
 * package depends only on {@code gaugegw.balancer.api}.
 */
package gaugegw.settings;
