/**
 * Protects the key-value service and this host from overload: limits the concurrent calls, opens a circuit breaker
 * while the service does not respond, and counts the calls for each purpose. A call that is refused here is never sent.
 */

import {
    CircuitBreaker,
    type Clock,
    type KeyRevision,
    type KeyValue,
    type KeyValueChange,
    type KeyValueEntry,
    type KeyValueFailure,
    type KeyValuePurpose,
    type Lease,
    type LeaseId,
    purposeOfKey,
    type SwapResult,
} from "@tamarackpath/core";
import { type Either, Left } from "purify-ts";

/** Outcome of a call: a "refused" call was never sent, an "unknown" one may have taken effect. */
export type KeyValueOutcome = "answered" | "failed" | "unknown" | "refused";

/** Settings of the guarded client. */
export interface GuardedKeyValueOptions {
    /** Returns a number from 0 to 1, for the jitter of the circuit breaker's delays. */
    readonly random: () => number;
    /** Called once for each call when it ends; a watch is reported when it is opened. */
    readonly onCall: (purpose: KeyValuePurpose, outcome: KeyValueOutcome) => void;
}

const maxConcurrentCalls = 16;
const maxQueuedCalls = 256;

/** A key-value client with a concurrency limit, a circuit breaker and counters. */
export class GuardedKeyValue implements KeyValue {
    private readonly circuit = new CircuitBreaker();
    private readonly counts = new Map<string, number>();
    /** Resolvers of the queued calls, oldest first. */
    private readonly waiting: (() => void)[] = [];
    private running = 0;
    private openWatches = 0;

    constructor(
        private readonly inner: KeyValue,
        private readonly clock: Clock,
        private readonly options: GuardedKeyValueOptions,
    ) {}

    get(key: string): Promise<Either<KeyValueFailure, KeyValueEntry | undefined>> {
        return this.callWithinLimit(purposeOfKey(key), () => this.inner.get(key));
    }

    list(prefix: string, from?: KeyRevision): Promise<Either<KeyValueFailure, readonly KeyValueEntry[]>> {
        return this.callWithinLimit(purposeOfKey(prefix), () => this.inner.list(prefix, from));
    }

    swap(
        key: string,
        expected: KeyRevision,
        value: string,
        lease?: LeaseId,
    ): Promise<Either<KeyValueFailure, SwapResult>> {
        return this.callWithinLimit(purposeOfKey(key), () => this.inner.swap(key, expected, value, lease));
    }

    grantLease(ttlMs: number): Promise<Either<KeyValueFailure, Lease>> {
        return this.callWithinLimit("leases", () => this.inner.grantLease(ttlMs));
    }

    keepAlive(id: LeaseId, ttlMs: number): Promise<Either<KeyValueFailure, Lease>> {
        return this.callWithinLimit("leases", () => this.inner.keepAlive(id, ttlMs));
    }

    revokeLease(id: LeaseId): Promise<Either<KeyValueFailure, void>> {
        return this.callWithinLimit("leases", () => this.inner.revokeLease(id));
    }

    async watch(
        prefix: string,
        from: KeyRevision,
        onChange: (change: KeyValueChange) => void,
        signal: AbortSignal,
    ): Promise<KeyValueFailure> {
        const purpose = purposeOfKey(prefix);
        if (this.circuit.state !== "closed") {
            this.count(purpose, "refused");
            return circuitOpenFailure;
        }
        this.count(purpose, "answered");
        this.openWatches++;
        try {
            return await this.inner.watch(prefix, from, onChange, signal);
        }
        finally {
            this.openWatches--;
        }
    }

    /** The state of the circuit breaker and the counts of calls by purpose and outcome, for the dump. */
    describe(): object {
        const { running, openWatches } = this;
        const calls = Object.fromEntries(this.counts);
        return { circuit: this.circuit.state, running, waiting: this.waiting.length, openWatches, calls };
    }

    private async callWithinLimit<Answer>(
        purpose: KeyValuePurpose,
        call: () => Promise<Either<KeyValueFailure, Answer>>,
    ): Promise<Either<KeyValueFailure, Answer>> {
        if (!await this.acquireSlot()) {
            this.count(purpose, "refused");
            return Left(queueFullFailure);
        }
        try {
            return await this.attempt(purpose, call);
        }
        finally {
            this.releaseSlot();
        }
    }

    private async attempt<Answer>(
        purpose: KeyValuePurpose,
        call: () => Promise<Either<KeyValueFailure, Answer>>,
    ): Promise<Either<KeyValueFailure, Answer>> {
        const startedAt = this.clock.now();
        if (!this.circuit.admit(startedAt)) {
            this.count(purpose, "refused");
            return Left(circuitOpenFailure);
        }
        const res = await call();
        const failure = res.swap().toMaybe().extract();
        if (failure === undefined || failure.answered === true) {
            this.circuit.recordSuccess();
            this.count(purpose, "answered");
            return res;
        }
        this.circuit.recordFailure(startedAt, this.clock.now(), this.options.random());
        this.count(purpose, failure.applied === "unknown" ? "unknown" : "failed");
        return res;
    }

    /** Waits for a slot; returns false when the queue is full. */
    private async acquireSlot(): Promise<boolean> {
        if (this.running < maxConcurrentCalls) {
            this.running++;
            return true;
        }
        if (this.waiting.length >= maxQueuedCalls) {
            return false;
        }
        await new Promise<void>(resolve => this.waiting.push(resolve));
        return true;
    }

    /** Passes the slot of a finished call to the next queued one. */
    private releaseSlot(): void {
        const next = this.waiting.shift();
        if (next === undefined) {
            this.running--;
            return;
        }
        next();
    }

    private count(purpose: KeyValuePurpose, outcome: KeyValueOutcome): void {
        const name = `${purpose} ${outcome}`;
        this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
        this.options.onCall(purpose, outcome);
    }
}

const circuitOpenFailure: KeyValueFailure = { applied: "no", detail: "The key-value service is not responding." };
const queueFullFailure: KeyValueFailure = {
    applied: "no",
    detail: "Too many calls are queued for the key-value service.",
};
