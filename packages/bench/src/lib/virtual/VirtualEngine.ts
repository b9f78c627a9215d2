/**
 * Model of an engine in virtual time: continuous batching over a limited number of slots, where each additional
 * request slows the whole batch; a queue ordered by priority; and a prefix cache of limited size. All figures in
 * virtual time depend on this model.
 */

import { type EventLoop } from "./EventLoop.js";

/** Parameters of an engine. */
export interface EngineShape {
    readonly slots: number;
    /** Time that a token takes when one request runs alone. */
    readonly tokenMs: number;
    /** Fraction of `tokenMs` that each additional running request adds to the time of a token. */
    readonly batchSlope: number;
    /** Time to process a prompt that is not in the prefix cache. */
    readonly prefillMs: number;
    readonly maxCachedPrompts: number;
}

/** A request at an engine. */
export interface EngineJob {
    readonly id: string;
    readonly prompt: string;
    readonly tokens: number;
    /** Waiting requests with a lower number start first. */
    readonly priority: number;
    onTokens(tokens: number): void;
    onEnd(): void;
}

interface RunningJob {
    readonly job: EngineJob;
    /** Tokens left to produce; prefill counts as the tokens that could be produced in its time. */
    left: number;
    reportedTokens: number;
}

/** One engine in virtual time. */
export class VirtualEngine {
    hits = 0;
    misses = 0;
    producedTokens = 0;
    private slowFactor = 1;
    private readonly running: RunningJob[] = [];
    private readonly waiting: EngineJob[] = [];
    private readonly cachedPrompts = new Set<string>();
    private advancedAt = 0;
    private scheduleNumber = 0;

    constructor(private readonly loop: EventLoop, private readonly shape: EngineShape) {}

    /** Starts a request, or queues it behind requests of the same or a higher priority while all slots are taken. */
    submit(job: EngineJob): void {
        this.advance();
        const place = this.waiting.findIndex(other => other.priority > job.priority);
        this.waiting.splice(place < 0 ? this.waiting.length : place, 0, job);
        this.startWaiting();
    }

    /** Removes a running or waiting request without calling `onEnd`. */
    cancel(job: EngineJob): void {
        this.advance();
        const place = this.running.findIndex(entry => entry.job === job);
        if (place >= 0) {
            this.running.splice(place, 1);
        }
        const queued = this.waiting.indexOf(job);
        if (queued >= 0) {
            this.waiting.splice(queued, 1);
        }
        this.startWaiting();
    }

    /** Multiplies the time of each token by `factor` from the current time on. */
    setSlowFactor(factor: number): void {
        this.advance();
        this.slowFactor = factor;
        this.startWaiting();
    }

    /** Computes the progress of all running requests up to the current time and reports their new tokens. */
    advance(): void {
        const tokens = (this.loop.now - this.advancedAt) / this.tokenIntervalMs();
        this.advancedAt = this.loop.now;
        for (const entry of this.running) {
            entry.left -= tokens;
            const done = Math.max(0, Math.floor(entry.job.tokens - Math.max(0, entry.left) + 1e-6));
            if (done > entry.reportedTokens) {
                entry.job.onTokens(done - entry.reportedTokens);
                this.producedTokens += done - entry.reportedTokens;
                entry.reportedTokens = done;
            }
        }
    }

    private tokenIntervalMs(): number {
        return this.shape.tokenMs * (1 + this.shape.batchSlope * Math.max(0, this.running.length - 1))
            * this.slowFactor;
    }

    private startWaiting(): void {
        while (this.running.length < this.shape.slots && this.waiting.length > 0) {
            const job = this.waiting.shift()!;
            const prefill = this.usePrefixCache(job.prompt) ? 0 : this.shape.prefillMs / this.shape.tokenMs;
            this.running.push({ job, left: job.tokens + prefill, reportedTokens: 0 });
        }
        this.scheduleNextEnd();
    }

    /**
     * Schedules the next end of a request. A newer schedule invalidates the older ones, because it may change the
     * pace.
     */
    private scheduleNextEnd(): void {
        const scheduleNumber = ++this.scheduleNumber;
        const minTokensLeft = this.running.reduce((min, { left }) => Math.min(min, left), Number.POSITIVE_INFINITY);
        if (Number.isFinite(minTokensLeft)) {
            this.loop.after(Math.max(0, minTokensLeft) * this.tokenIntervalMs(), () => {
                if (scheduleNumber === this.scheduleNumber) {
                    this.finish();
                }
            });
        }
    }

    private finish(): void {
        this.advance();
        const ended = this.running.filter(({ left }) => left <= 1e-6);
        for (const entry of ended) {
            this.running.splice(this.running.indexOf(entry), 1);
        }
        this.startWaiting();
        ended.forEach(({ job }) => job.onEnd());
    }

    /**
     * Returns whether the prompt is cached, and makes it the most recently used one; evicts the least recently used.
     */
    private usePrefixCache(prompt: string): boolean {
        const hit = this.cachedPrompts.delete(prompt);
        this.cachedPrompts.add(prompt);
        if (this.cachedPrompts.size > this.shape.maxCachedPrompts) {
            this.cachedPrompts.delete(this.cachedPrompts.values().next().value!);
        }
        this[hit ? "hits" : "misses"]++;
        return hit;
    }
}
