/** An entry host in virtual time: the same pure router as the daemon's, with calls in place of sockets. */

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

/** Something that a caller asks of a host. */
export interface VirtualRequest {
    readonly id: string;
    readonly caller: string;
    readonly workClass: WorkClass;
    readonly prompt: string;
    readonly tokens: number;
    readonly deadline: number;
    readonly lateCost: number;
    onEnd(): void;
    onRefused(): void;
}

/** How a host decides. */
export interface HostOptions {
    readonly policy: PolicyName;
    readonly reserveShortShare: number;
    readonly hedgeBudget: number;
    readonly shares: Readonly<Record<string, number>>;
    /** Milliseconds that a request takes to its target. */
    readonly hopMs: number;
}

interface Attempt {
    readonly job: EngineJob;
    readonly engine: VirtualEngine;
    produced: number;
}

interface Call {
    readonly request: VirtualRequest;
    readonly attempts: Map<RequestId, Attempt>;
    isOver: boolean;
}

export const virtualPool = asId<PoolId>("engines");
const priorities: Readonly<Record<WorkClass, number>> = { "answer": 0, "step-tail": 5, "sample": 10, "score": 10 };
const judgeEveryMs = 25;

/** One entry host. */
export class VirtualHost {
    readonly router: Router;
    /** Tokens that attempts produced whose request was answered by another attempt. */
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

    observe(view: TargetView): void {
        this.router.setTargetView(view);
        this.pump();
    }

    submit(request: VirtualRequest): void {
        const call: Call = { request, attempts: new Map(), isOver: false };
        const work = this.work(request, request.id, []);
        this.calls.set(work.id, call);
        const verdict = this.router.submit(work, this.loop.now as Instant);
        if (!verdict.admitted) {
            this.refuse(work.id);
        }
        this.pump();
    }

    /** Starts whatever can start. */
    pump(): void {
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

    private work(request: VirtualRequest, id: string, excluded: readonly TargetId[]): Work {
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
        if (call !== undefined && call.attempts.size === 0 && !call.isOver) {
            call.isOver = true;
            call.request.onRefused();
        }
    }

    private start(work: Work, target: TargetId): void {
        const call = this.calls.get(work.id)!;
        const { request } = call;
        if (call.isOver) {
            this.router.recordEnd(work.id, { ok: false, tokens: 0 }, this.loop.now as Instant);
            return;
        }
        const engine = this.engines.get(target)!;
        const attempt: Attempt = {
            engine,
            produced: 0,
            job: {
                id: work.id,
                prompt: request.prompt,
                tokens: request.tokens,
                priority: priorities[request.workClass],
                onTokens: tokens => {
                    attempt.produced += tokens;
                    this.router.recordTokens(work.id, tokens);
                },
                onEnd: () => this.end(work.id, call),
            },
        };
        call.attempts.set(work.id, attempt);
        this.loop.after(this.options.hopMs, () => {
            if (call.attempts.has(work.id)) {
                engine.submit(attempt.job);
            }
        });
    }

    private end(id: RequestId, call: Call): void {
        if (call.isOver) {
            return;
        }
        call.isOver = true;
        for (const [other, { engine, job, produced }] of [...call.attempts]) {
            call.attempts.delete(other);
            this.calls.delete(other);
            if (other !== id) {
                this.duplicateTokens += produced;
                engine.cancel(job);
            }
            this.router.recordEnd(other, { ok: other === id, tokens: produced }, this.loop.now as Instant);
        }
        this.loop.after(this.options.hopMs, () => call.request.onEnd());
        this.pump();
    }

    private tick(): void {
        this.engines.forEach(engine => engine.advance());
        this.router.evaluateTargets(this.loop.now as Instant);
        for (const { work, target } of this.router.takeHedges(this.loop.now as Instant, () => true)) {
            this.hedge(work, target);
        }
        this.pump();
        this.loop.after(judgeEveryMs, () => this.tick());
    }

    private hedge(work: Work, target: TargetId): void {
        const call = this.calls.get(work.id);
        if (call !== undefined) {
            const second = this.work(call.request, `${work.id}/2`, [target]);
            this.calls.set(second.id, call);
            this.router.submit(second, this.loop.now as Instant);
        }
    }
}
