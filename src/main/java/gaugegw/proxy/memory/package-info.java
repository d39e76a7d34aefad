/**
 * The limit on the memory that unfinished messages hold, whatever the number of connections.
 *
 * <p>Each connection reports what its unfinished requests and responses hold to its {@link
 * gaugegw.proxy.memory.MemoryAccount}. When the sum of all accounts exceeds the {@link
 * gaugegw.proxy.memory.MemoryBudget}, the {@link gaugegw.proxy.memory.MemoryLimiter} makes connections give up messages,
 * in the order of {@link gaugegw.proxy.memory.ShedStage}. The memory itself belongs to the connections, which allocate
 * and release it.
 *
 * <p>Threading: everything in this package is used on the proxy's event loop only.
 */
package gaugegw.proxy.memory;
