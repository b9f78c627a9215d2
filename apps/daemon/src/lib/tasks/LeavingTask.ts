/**
 * Collects from every source which incarnations of targets are leaving, and passes this on to the other hosts and to
 * the tasks of this host. A leaving incarnation stays leaving, so the order and delay of the sources do not
 * matter.
 */

import { fromLeavingFact, type HostListSnapshot, type LeavingTarget, toLeavingFact } from "@tamarackpath/core";
import { type Context, type Task } from "../Context.js";

/** Tracks the targets that are leaving. */
export class LeavingTask implements Task {
    readonly name = "leaving";
    private readonly leavingTargets = new Map<string, LeavingTarget>();

    constructor(private readonly ctx: Context) {}

    start(): void {
        this.ctx.bus.on("hostListRead", snapshot => this.onHostListRead(snapshot));
        this.ctx.bus.on("factsRaised", async facts => {
            for (const leaving of facts.map(fromLeavingFact)) {
                if (leaving !== undefined) {
                    await this.announce(leaving);
                }
            }
        });
    }

    stop(): void {
        this.leavingTargets.clear();
    }

    /** Marks an incarnation as leaving on every host, at the request of an operator or of the target itself. */
    async leave(leaving: LeavingTarget): Promise<void> {
        await this.ctx.bus.emit("raiseFacts", [toLeavingFact(leaving)]);
    }

    dump(): unknown {
        return [...this.leavingTargets.values()];
    }

    private onHostListRead({ targets }: HostListSnapshot): void {
        const newlyLeaving = targets.filter(({ target, incarnation, leaving }) =>
            leaving && !this.ctx.leaving.isLeaving(target, incarnation)
        );
        if (newlyLeaving.length > 0) {
            void this.ctx.bus.emit("raiseFacts", newlyLeaving.map(toLeavingFact));
        }
    }

    private async announce(leaving: LeavingTarget): Promise<void> {
        this.leavingTargets.set(leaving.target, leaving);
        this.ctx.log("leaving").info("A target is leaving.", { ...leaving });
        await this.ctx.bus.emit("targetLeaving", leaving);
    }
}
