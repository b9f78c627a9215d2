/**
 * An entry host in virtual time: the daemon's router, connected to the engines by function calls instead of sockets.
 */

import {
    asId,
    type CallerId,
    type HostId,
    type Instant,
    type PolicyName,
    type PoolId,
    type RequestId,
    Router,
    type TargetId,
    type TargetView,
    type Work,
    type WorkClass,
} from "@tamarackpath/core";
import { type EventLoop } from "./EventLoop.js";
import { type EngineJob, type VirtualEngine } from "./VirtualEngine.js";

/** A caller's request to a host. */
export interface VirtualRequest {
    readonly id: string;
    readonly caller: string;
    readonly workClass: WorkClass;
    readonly prompt: string;
    readonly tokens: number;
    /** Virtual time until which the request must be answered. */
    readonly deadline: number;
    readonly lateCost: number;
    onEnd(): void;
    onRefused(): void;
}

/** Routing options of a host. */
export interface HostOptions {
    readonly policy: PolicyName;
    readonly reserveShortShare: number;
    readonly hedgeBudget: number;
    readonly shares: Readonly<Record<string, number>>;
    /** Time that a request takes to its target, and an answer to the caller. */
    readonly networkDelayMs: number;
}

interface Attempt {
    readonly job: EngineJob;
    readonly engine: VirtualEngine;
    producedTokens: number;
}

interface Call {
    readonly request: VirtualRequest;
    readonly attempts: Map<RequestId, Attempt>;
    isFinished: boolean;
}

export const virtualPool = asId<PoolId>("engines");
const enginePriorities: Readonly<Record<WorkClass, number>> = {
    "answer": 0,
    "step-tail": 5,
    "sample": 10,
    "score": 10,
};
const evaluationIntervalMs = 25;

/** An entry host. */
export class VirtualHost {
    readonly router: Router;
    /** Tokens produced by attempts whose request was answered by another attempt. */
    duplicateTokens = 0;
    private readonly calls = new Map<RequestId, Call>();

    constructor(
        readonly id: HostId,
        private readonly loop: EventLoop,
        private readonly engines: ReadonlyMap<TargetId, VirtualEngine>,
        private readonly options: HostOptions,
        random: () => number,
    ) {
        this.router = new Router(random);
        this.router.configure(virtualPool, options);
        this.tick();
    }

    /** Passes the view of a target to the router. */
    observe(view: TargetView): void {
        this.router.setTargetView(view);
        this.dispatchReady();
    }

    /** Submits a request, which ends with `onEnd` or `onRefused`. */
    submit(request: VirtualRequest): void {
        const call: Call = { request, attempts: new Map(), isFinished: false };
        const work = this.createWork(request, request.id, []);
        this.calls.set(work.id, call);
        const verdict = this.router.submit(work, this.loop.now as Instant);
        if (!verdict.admitted) {
            this.refuse(work.id);
        }
        this.dispatchReady();
    }

    /**
     * Refuses waiting requests that can no longer end by their deadline, and starts all requests that the router assigns
     * to a target.
     */
    dispatchReady(): void {
        for (const work of this.router.queue.takeExpired(this.loop.now as Instant)) {
            this.refuse(work.id);
        }
        for (;;) {
            const assignment = this.router.next(this.loop.now as Instant);
            if (assignment === undefined) {
                return;
            }
            this.start(assignment.work, assignment.view.target);
        }
    }

    private createWork(request: VirtualRequest, id: string, excluded: readonly TargetId[]): Work {
        return {
            id: asId<RequestId>(id),
            pool: virtualPool,
            caller: asId<CallerId>(request.caller),
            workClass: request.workClass,
            policy: this.options.policy,
            arrivedAt: this.loop.now as Instant,
            deadline: request.deadline as Instant,
            lateCost: request.lateCost,
            expectedTokens: undefined,
            prefix: request.prompt,
            lowestVersion: undefined,
            excluded,
        };
    }

    private refuse(id: RequestId): void {
        const call = this.calls.get(id);
        this.calls.delete(id);
        if (call !== undefined && call.attempts.size === 0 && !call.isFinished) {
            call.isFinished = true;
            call.request.onRefused();
        }
    }

    private start(work: Work, target: TargetId): void {
        const call = this.calls.get(work.id)!;
        const { request } = call;
        if (call.isFinished) {
            this.router.recordEnd(work.id, { ok: false, tokens: 0 }, this.loop.now as Instant);
            return;
        }
        const engine = this.engines.get(target)!;
        const attempt: Attempt = {
            engine,
            producedTokens: 0,
            job: {
                id: work.id,
                prompt: request.prompt,
                tokens: request.tokens,
                priority: enginePriorities[request.workClass],
                onTokens: tokens => {
                    attempt.producedTokens += tokens;
                    this.router.recordTokens(work.id, tokens);
                },
                onEnd: () => this.end(work.id, call),
            },
        };
        call.attempts.set(work.id, attempt);
        this.loop.after(this.options.networkDelayMs, () => {
            if (call.attempts.has(work.id)) {
                engine.submit(attempt.job);
            }
        });
    }

    private end(id: RequestId, call: Call): void {
        if (call.isFinished) {
            return;
        }
        call.isFinished = true;
        for (const [other, { engine, job, producedTokens }] of [...call.attempts]) {
            call.attempts.delete(other);
            this.calls.delete(other);
            if (other !== id) {
                this.duplicateTokens += producedTokens;
                engine.cancel(job);
            }
            this.router.recordEnd(other, { ok: other === id, tokens: producedTokens }, this.loop.now as Instant);
        }
        this.loop.after(this.options.networkDelayMs, () => call.request.onEnd());
        this.dispatchReady();
    }

    /** Evaluates targets and starts hedged requests, at regular intervals. */
    private tick(): void {
        this.engines.forEach(engine => engine.advance());
        this.router.evaluateTargets(this.loop.now as Instant);
        for (const { work, target } of this.router.takeHedges(this.loop.now as Instant, () => true)) {
            this.hedge(work, target);
        }
        this.dispatchReady();
        this.loop.after(evaluationIntervalMs, () => this.tick());
    }

    private hedge(work: Work, target: TargetId): void {
        const call = this.calls.get(work.id);
        if (call !== undefined) {
            const hedgeWork = this.createWork(call.request, `${work.id}/2`, [target]);
            this.calls.set(hedgeWork.id, call);
            this.router.submit(hedgeWork, this.loop.now as Instant);
        }
    }
}
