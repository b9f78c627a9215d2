/**
 * Learns from every source which incarnations of targets leave, tells the other hosts of it, and tells the tasks of this
 * host. The fact only grows, so that it does not matter which source was first or how late the others are.
 */

import { fromLeavingFact, type HostListSnapshot, type LeavingTarget, toLeavingFact } from "@tamarackpath/core";
import { type Context, type Task } from "../Context.js";

/** Keeps the account of leaving targets. */
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

    /** Takes from an operator, or from the target itself, that an incarnation leaves; every host learns of it. */
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
        this.ctx.log("leaving").info("A target leaves.", { ...leaving });
        await this.ctx.bus.emit("targetLeaving", leaving);
    }
}
