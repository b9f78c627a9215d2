/**
 * The graceful shutdown of a host. First the host reports that it is not ready and announces that it is leaving, so
 * that its roles move to other hosts. It accepts requests until the balancer has had time to react; then it refuses new
 * requests and finishes the running ones. Requests that still run at the deadline, or when an operator forces the
 * shutdown, are reported as unknown.
 */

import { after, type Instant, sleepUntil } from "@tamarackpath/core";
import { type Context, type Task } from "./Context.js";
import { type OpenRequests } from "./http/OpenRequests.js";

/** Durations of a shutdown, in milliseconds. */
export interface ShutdownOptions {
    /** How long a host that is not ready still accepts requests. */
    readonly balancerNoticeMs: number;
    /** How long running requests may continue after that. */
    readonly finishTimeoutMs: number;
}

/** The parts of the daemon that a shutdown uses. */
export interface ShutdownParts {
    readonly requests: OpenRequests;
    readonly tasks: readonly Task[];
    /** Number of peers' requests that are being answered. */
    readonly countPeerRequests: () => number;
    /** Refuses the work that is queued for a target. No byte of it was sent. */
    readonly refuseWaiting: () => void;
}

/** "serving" before the shutdown begins, "leaving" until the balancer has had time to react, "refusing" afterwards. */
export type ShutdownPhase = "serving" | "leaving" | "refusing";

const pollMs = 50;
const responseFlushDelayMs = 200;

/** The shutdown of one host. */
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

    /**
     * Drains the host and waits for running requests. Those that still run at the deadline are reported as unknown.
     * Returns whether all ended in time.
     */
    async finish(): Promise<boolean> {
        await this.drain();
        const deadline = after(this.ctx.clock.now(), this.options.finishTimeoutMs);
        const drained = Promise.all(this.parts.tasks.map(task => task.drain?.(deadline)));
        let isDrained = false;
        void drained.then(() => {
            isDrained = true;
        });
        await this.waitFor(() => isDrained && this.isIdle(), deadline);
        // Stopping the tasks takes time, in which a request would begin and be cut.
        this.parts.requests.refuseAll();
        return this.isIdle() || await this.reportUnfinished();
    }

    /** Stops waiting for running requests. */
    forceStop(): void {
        this.isForced = true;
        this.ctx.log("shutdown").warn("The shutdown is forced; requests that still run are reported as unknown.");
    }

    private async leave(): Promise<void> {
        const { bus, clock } = this.ctx;
        this.phase = "leaving";
        this.ctx.log("shutdown").info("The host is not ready; it finishes the running requests.");
        this.parts.requests.closeConnections();
        await bus.emit("stopping", undefined);
        await this.waitFor(() => false, after(clock.now(), this.options.balancerNoticeMs));
        this.phase = "refusing";
        this.parts.requests.refuseNew();
        this.ctx.log("shutdown").info("The host refuses new requests.", { open: this.parts.requests.count });
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

    private async reportUnfinished(): Promise<false> {
        const { clock } = this.ctx;
        this.parts.refuseWaiting();
        await sleepUntil(clock, after(clock.now(), pollMs));
        const unknown = this.parts.requests.reportUnknown();
        this.ctx.log("shutdown").warn("Requests did not end in time.", {
            unknown,
            peers: this.parts.countPeerRequests(),
        });
        await sleepUntil(clock, after(clock.now(), responseFlushDelayMs));
        return false;
    }
}
