/**
 * Which commands does the controller of a model group send to its engines now?
 *
 * <p>{@link org.cowslipbank.decision.rollout.RolloutMachine} is a pure state machine. It compares the target of each
 * engine with the engine's last report and sends commands that name the full desired state (version, adapter, role), so
 * they are idempotent. Each command carries the fencing token of the controller's lease, and engines that check tokens
 * reject older ones. For engines that ignore tokens, the controller reads the state again every second and corrects it,
 * which undoes a late command of an earlier controller.
 *
 * <p>The controller acts only under a confirmed lease. A gap of more than two seconds between two ticks means that the
 * process was paused; the lease then counts as unconfirmed until the platform has answered a request sent after the gap.
 * An engine that rejects the token has the same effect, since the rejection shows that a newer controller exists.
 *
 * <p>Weight loads: each data centre has two load slots. They are leases in the platform's key-value service, because the
 * engines of one data centre belong to several model groups and so to several controllers. A slot's lease lasts longer
 * than a load may take and is not renewed. A holder sends the load command only early in that lease, so one that was
 * paused cannot start a third load. A token bucket in bytes limits the load on the weight store; each controller has a
 * share of its rate.
 *
 * <p>Before an engine drains or loads, it is announced as leaving in the membership probes, and the command is delayed
 * until the nodes have received the announcement. Otherwise nodes would send work to engines that refuse it, and several
 * engines loading at once would use up all attempts of a request within milliseconds.
 *
 * <p>A version change drains an engine before the load, for a limited time. Scale-down drains without a time limit,
 * exports the blocks worth keeping and then retires the engine, so it interrupts no request. Only a limited share of the
 * group is out of service at a time.
 *
 * <p>Alternatives considered: counting loads from the engines' reports needs no platform call, but reports lag, so two
 * controllers could each start a load in the same interval and exceed the limit. With a single controller for all
 * groups, its restart would stop all of them.
 */
package org.cowslipbank.decision.rollout;
