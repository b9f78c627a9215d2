/**
 * Budget of prompt tokens that each engine prefills at once. An engine prefills in chunks of 2,048 tokens between the
 * tokens of its other runs, so several long prompts at one engine delay every run there, and short prompts behind them.
 * Prompts beyond the budget wait at the host, where they can go to any engine. A prompt longer than the budget is
 * admitted alone; one that has been passed over for 300 ms gets an engine reserved, which admits nothing else until it
 * is empty enough.
 */

import { after, type Instant, type TargetId } from "../ids.js";

/** Prompt tokens that are prefilled at one engine at once: one chunk. */
export const promptBudgetTokens = 2048;

/** Prompt tokens from which a prompt counts as long: two of them exceed the budget. */
export const longPromptTokens = promptBudgetTokens / 2;

/**
 * Prompt tokens up to which a task whose shared prompt is held by the engine is admitted beyond the budget. Elsewhere
 * the whole prompt would be prefilled again.
 */
const maxTailTokens = 64;

/** Milliseconds after which a task that was passed over goes next. */
export const ageingMs = 300;

/** Milliseconds after which a reservation that was not used ends, such as one at an engine that changes its weights. */
const reservationTtlMs = 1000;

/** Share of the engines that may be reserved at once, so that many long prompts do not block the short ones. */
const maxReservedShare = 0.25;

interface Reservation<Run> {
    readonly run: Run;
    readonly until: Instant;
}

interface Prefills<Run> {
    readonly runs: Map<Run, number>;
    tokens: number;
}

/** Tracks the prompts that are being prefilled at a set of engines, by `Run`: the object that stands for a task. */
export class PromptBudget<Run> {
    private readonly prefills = new Map<TargetId, Prefills<Run>>();
    private readonly reservations = new Map<TargetId, Reservation<Run>>();
    private readonly reservedTargets = new Map<Run, TargetId>();

    get hasReservations(): boolean {
        return this.reservations.size > 0;
    }

    /** Prompt tokens that are being prefilled at an engine. */
    prefillingAt(target: TargetId): number {
        return this.prefills.get(target)?.tokens ?? 0;
    }

    /** Whether the engine is reserved for another run than `run`. */
    isReservedForOther(target: TargetId, run: Run): boolean {
        const reservation = this.reservations.get(target);
        return reservation !== undefined && reservation.run !== run;
    }

    /** Whether the engine may prefill `tokens` now. `isTail` says that it holds the shared prompt before them. */
    admits(target: TargetId, tokens: number, isTail: boolean): boolean {
        const prefillingTokens = this.prefillingAt(target);
        return prefillingTokens === 0 || prefillingTokens + tokens <= promptBudgetTokens
            || isTail && tokens <= maxTailTokens;
    }

    /** Records that an engine prefills a task's prompt from now on. */
    begin(target: TargetId, run: Run, tokens: number): void {
        let prefills = this.prefills.get(target);
        if (prefills === undefined) {
            prefills = { runs: new Map(), tokens: 0 };
            this.prefills.set(target, prefills);
        }
        prefills.tokens += tokens - (prefills.runs.get(run) ?? 0);
        prefills.runs.set(run, tokens);
        this.cancelReservation(run);
    }

    /** Records the first event of a task's run, or its end. Returns whether its prompt was being prefilled until now. */
    end(target: TargetId, run: Run): boolean {
        const prefills = this.prefills.get(target);
        const tokens = prefills?.runs.get(run);
        if (prefills === undefined || tokens === undefined) {
            return false;
        }
        prefills.tokens -= tokens;
        return prefills.runs.delete(run);
    }

    /** The engine that is reserved for a task. */
    reservedFor(run: Run): TargetId | undefined {
        return this.reservedTargets.get(run);
    }

    /** Whether a task that may go to `engineCount` engines has a reservation or may get one. */
    mayReserve(run: Run, engineCount: number): boolean {
        return this.reservedTargets.has(run)
            || this.reservations.size < Math.max(1, Math.floor(engineCount * maxReservedShare));
    }

    /** Reserves the engine among `targets` that prefills least for a task that has none of them, if it may. */
    reserve(run: Run, targets: readonly TargetId[], now: Instant): void {
        const reserved = this.reservedTargets.get(run);
        if (reserved !== undefined && targets.includes(reserved)) {
            return;
        }
        this.cancelReservation(run);
        const free = targets.filter(target => !this.reservations.has(target));
        if (free.length > 0 && this.mayReserve(run, targets.length)) {
            const target = free.reduce((best, other) =>
                this.prefillingAt(other) < this.prefillingAt(best) ? other : best
            );
            this.reservations.set(target, { run, until: after(now, reservationTtlMs) });
            this.reservedTargets.set(run, target);
        }
    }

    cancelReservation(run: Run): void {
        const target = this.reservedTargets.get(run);
        if (target !== undefined) {
            this.reservations.delete(target);
            this.reservedTargets.delete(run);
        }
    }

    /** Ends the reservations that have expired, and those of tasks that no longer wait. */
    dropReservations(isWaiting: (run: Run) => boolean, now: Instant): void {
        for (const { run, until } of this.reservations.values()) {
            if (until <= now || !isWaiting(run)) {
                this.cancelReservation(run);
            }
        }
    }

    /** When the first reservation expires. */
    get nextExpiryAt(): Instant | undefined {
        const times = [...this.reservations.values()].map(({ until }) => until);
        return times.length === 0 ? undefined : Math.min(...times) as Instant;
    }
}
