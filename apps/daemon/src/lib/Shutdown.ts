/**
 * The graceful shutdown of a host. It is not ready first and announces that it leaves, so that duties move; it goes on
 * accepting until the balancer has noticed; then it refuses new requests and finishes what runs. What still runs at
 * the deadline, or when an operator is impatient, is reported as unknown.
 */

import { after, type Instant, sleepUntil } from "@tamarackpath/core";
import { type Context, type Task } from "./Context.js";
import { type OpenRequests } from "./http/OpenRequests.js";

/** Durations of a shutdown, in milliseconds. */
export interface ShutdownOptions {
    /** How long a host that is not ready still accepts requests. */
    readonly balancerNoticeMs: number;
    /** How long running requests may then go on. */
    readonly finishTimeoutMs: number;
}

/** What a shutdown works on. */
export interface ShutdownParts {
    readonly requests: OpenRequests;
    readonly tasks: readonly Task[];
    /** Requests of peers that are being answered. */
    readonly countPeerRequests: () => number;
    /** Refuses the work that waits for a target; of it no byte was handed over. */
    readonly refuseWaiting: () => void;
}

/** How far the shutdown is. */
export type ShutdownPhase = "serving" | "leaving" | "refusing";

const pollMs = 50;
const responseFlushMs = 200;

/** One host's shutdown. */
export class Shutdown {
    phase: ShutdownPhase = "serving";
    private draining: Promise<void> | undefined;
    private isForced = false;

    constructor(
        private readonly ctx: Context,
        private readonly options: ShutdownOptions,
        private readonly parts: ShutdownParts,
    ) {}

    /** Takes the host out of service without stopping it; resolves once it refuses new requests. */
    drain(): Promise<void> {
        this.draining ??= this.leave();
        return this.draining;
    }

    /** Waits until everything has ended, or reports as unknown what has not; tells whether everything ended. */
    async finish(): Promise<boolean> {
        await this.drain();
        const deadline = after(this.ctx.clock.now(), this.options.finishTimeoutMs);
        const drained = Promise.all(this.parts.tasks.map(task => task.drain?.(deadline)));
        let isDrained = false;
        void drained.then(() => {
            isDrained = true;
        });
        await this.waitFor(() => isDrained && this.isIdle(), deadline);
        return this.isIdle() || await this.giveUp();
    }

    /** Stops waiting for what runs. */
    forceStop(): void {
        this.isForced = true;
        this.ctx.log("shutdown").warn("The operator is impatient; what still runs is reported as unknown.");
    }

    private async leave(): Promise<void> {
        const { bus, clock } = this.ctx;
        this.phase = "leaving";
        this.ctx.log("shutdown").info("The host is not ready any more; it finishes what runs.");
        this.parts.requests.closeConnections();
        await bus.emit("stopping", undefined);
        await this.waitFor(() => false, after(clock.now(), this.options.balancerNoticeMs));
        this.phase = "refusing";
        this.parts.requests.refuseNew();
        this.ctx.log("shutdown").info("The host takes no new requests.", { open: this.parts.requests.count });
    }

    private isIdle(): boolean {
        return this.parts.requests.count === 0 && this.parts.countPeerRequests() === 0;
    }

    private async waitFor(holds: () => boolean, deadline: Instant): Promise<void> {
        const { clock } = this.ctx;
        while (!this.isForced && !holds() && clock.now() < deadline) {
            await sleepUntil(clock, Math.min(deadline, after(clock.now(), pollMs)) as Instant);
        }
    }

    private async giveUp(): Promise<false> {
        const { clock } = this.ctx;
        this.parts.refuseWaiting();
        await sleepUntil(clock, after(clock.now(), pollMs));
        const unknown = this.parts.requests.reportUnknown();
        this.ctx.log("shutdown").warn("Requests did not end in time.", {
            unknown,
            peers: this.parts.countPeerRequests(),
        });
        await sleepUntil(clock, after(clock.now(), responseFlushMs));
        return false;
    }
}
