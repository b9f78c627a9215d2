/**
 * Guards the key-value service and this host against each other: bounds the calls under way, fails fast while the
 * service does not answer, and counts the calls of each duty. A call that is refused here was never sent.
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

/** How a call ended: "refused" calls were never sent, "unknown" ones may have taken effect. */
export type KeyValueOutcome = "answered" | "failed" | "unknown" | "refused";

/** Settings of the guard. */
export interface GuardOptions {
    readonly random: () => number;
    /** Told of every call when it ended; a watch ends when it is opened. */
    readonly onCall: (duty: KeyValuePurpose, outcome: KeyValueOutcome) => void;
}

const callsAtATime = 16;
const waitingCalls = 256;

/** A key-value client with bounds and counts. */
export class GuardedKeyValue implements KeyValue {
    private readonly circuit = new CircuitBreaker();
    private readonly counts = new Map<string, number>();
    private readonly waiting: (() => void)[] = [];
    private running = 0;
    private openWatches = 0;

    constructor(
        private readonly inner: KeyValue,
        private readonly clock: Clock,
        private readonly options: GuardOptions,
    ) {}

    get(key: string): Promise<Either<KeyValueFailure, KeyValueEntry | undefined>> {
        return this.guard(purposeOfKey(key), () => this.inner.get(key));
    }

    list(prefix: string, from?: KeyRevision): Promise<Either<KeyValueFailure, readonly KeyValueEntry[]>> {
        return this.guard(purposeOfKey(prefix), () => this.inner.list(prefix, from));
    }

    swap(
        key: string,
        expected: KeyRevision,
        value: string,
        lease?: LeaseId,
    ): Promise<Either<KeyValueFailure, SwapResult>> {
        return this.guard(purposeOfKey(key), () => this.inner.swap(key, expected, value, lease));
    }

    grantLease(ttlMs: number): Promise<Either<KeyValueFailure, Lease>> {
        return this.guard("leases", () => this.inner.grantLease(ttlMs));
    }

    keepAlive(id: LeaseId, ttlMs: number): Promise<Either<KeyValueFailure, Lease>> {
        return this.guard("leases", () => this.inner.keepAlive(id, ttlMs));
    }

    revokeLease(id: LeaseId): Promise<Either<KeyValueFailure, void>> {
        return this.guard("leases", () => this.inner.revokeLease(id));
    }

    async watch(
        prefix: string,
        from: KeyRevision,
        onChange: (change: KeyValueChange) => void,
        signal: AbortSignal,
    ): Promise<KeyValueFailure> {
        const duty = purposeOfKey(prefix);
        if (this.circuit.state !== "closed") {
            this.count(duty, "refused");
            return notAnswering;
        }
        this.count(duty, "answered");
        this.openWatches++;
        try {
            return await this.inner.watch(prefix, from, onChange, signal);
        }
        finally {
            this.openWatches--;
        }
    }

    /** The counts of calls by duty and outcome, for the dump. */
    describe(): object {
        const { running, openWatches } = this;
        const calls = Object.fromEntries(this.counts);
        return { circuit: this.circuit.state, running, waiting: this.waiting.length, openWatches, calls };
    }

    private async guard<Answer>(
        duty: KeyValuePurpose,
        call: () => Promise<Either<KeyValueFailure, Answer>>,
    ): Promise<Either<KeyValueFailure, Answer>> {
        if (!await this.enter()) {
            this.count(duty, "refused");
            return Left(tooMany);
        }
        try {
            return await this.attempt(duty, call);
        }
        finally {
            this.leave();
        }
    }

    private async attempt<Answer>(
        duty: KeyValuePurpose,
        call: () => Promise<Either<KeyValueFailure, Answer>>,
    ): Promise<Either<KeyValueFailure, Answer>> {
        const startedAt = this.clock.now();
        if (!this.circuit.admit(startedAt)) {
            this.count(duty, "refused");
            return Left(notAnswering);
        }
        const res = await call();
        const failure = res.swap().toMaybe().extract();
        if (failure === undefined || failure.answered === true) {
            this.circuit.recordSuccess();
            this.count(duty, "answered");
            return res;
        }
        this.circuit.recordFailure(startedAt, this.clock.now(), this.options.random());
        this.count(duty, failure.applied === "unknown" ? "unknown" : "failed");
        return res;
    }

    private async enter(): Promise<boolean> {
        if (this.running < callsAtATime) {
            this.running++;
            return true;
        }
        if (this.waiting.length >= waitingCalls) {
            return false;
        }
        await new Promise<void>(resolve => this.waiting.push(resolve));
        return true;
    }

    /** Hands the place of an ended call to the next one that waits. */
    private leave(): void {
        const next = this.waiting.shift();
        if (next === undefined) {
            this.running--;
            return;
        }
        next();
    }

    private count(duty: KeyValuePurpose, outcome: KeyValueOutcome): void {
        const name = `${duty} ${outcome}`;
        this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
        this.options.onCall(duty, outcome);
    }
}

const notAnswering: KeyValueFailure = { applied: "no", detail: "The key-value service is not answering." };
const tooMany: KeyValueFailure = { applied: "no", detail: "Too many calls wait for the key-value service." };
