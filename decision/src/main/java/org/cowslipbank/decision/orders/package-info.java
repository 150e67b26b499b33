/**
 * Which commands does the controller of a model group give to its engines now?
 *
 * <p>{@link org.cowslipbank.decision.orders.OrdersController} is a pure state machine. It compares the target of each
 * engine with what the engine reports and gives absolute commands (version, adapter, role), so that giving one twice
 * changes nothing. Engines that reject old fencing tokens get the lease's token; for those that ignore tokens the
 * controller reads the state again every second and corrects it, so a command of an earlier controller that arrives
 * late is undone.
 *
 * <p>The controller acts only under a confirmed lease. A gap of over two seconds between two ticks shows that the
 * process was paused; the lease then counts as unconfirmed until the platform has answered a question that was asked
 * after the gap. An engine that rejects the token has the same effect, since a newer controller exists.
 *
 * <p>Weight loads: each data centre has two slots, which are leases in the platform's key-value service, because the
 * engines of one data centre belong to several groups and thus to several controllers. A slot's lease lasts longer than
 * a load may take and is not renewed, so a paused holder cannot cause a third load: it sends the command only early in
 * the lease. The rate of the weight store is a token bucket in bytes; a controller has its share.
 *
 * <p>Before an engine drains or loads, the nodes are told with the probes that it leaves, and the command waits until
 * they know. Without that the nodes would send work to engines that refuse it, and several engines that load at once use
 * up a request's attempts in milliseconds.
 *
 * <p>A version change drains an engine before it loads, for a bounded time. Scale-down drains without a bound, exports
 * what is worth keeping and then retires, so it interrupts no request. At most a share of the group is out of service
 * at a time.
 *
 * <p>Alternatives considered: counting loads from the engines' reports needs no platform call, but reports lag, so two
 * controllers can start a third load in the same interval. One controller for everything would make its restart stop
 * all groups.
 */
package org.cowslipbank.decision.orders;
