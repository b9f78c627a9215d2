/**
 * Decides which engines may start a task now, by their memory and by the prompts that they are prefilling. Long prompts
 * (2,500 tokens) arrive beside short ones (16 to 260 tokens) at engines with 8 slots and memory for 28,644 to 84,292
 * tokens; the tasks that no engine admits wait at the host, where they can go to any engine. Tasks that do not describe
 * their prompts are admitted everywhere.
 */

import { type GroupId, type Instant } from "../ids.js";
import { EngineMemory } from "./EngineMemory.js";
import { type EngineCapacity } from "./enginePlacement.js";
import { type TaskRun } from "./JobScheduler.js";
import { ageingMs, longPromptTokens, PromptBudget, promptBudgetTokens } from "./PromptBudget.js";
import { type PromptSize } from "./promptSize.js";

/** Why a task that may start waits. */
export type WaitReason = "memory" | "prompt-budget" | "slots";

/** Milliseconds before its job's due time from which a long prompt no longer yields to short ones. */
const dueSoonMs = 1000;

/**
 * What a set of engines admits until the next task starts or ends. It spares the hot path, where hundreds of tasks wait
 * for 44 engines, the check of each task at each engine.
 */
export interface AdmissionPass {
    readonly engines: readonly EngineCapacity[];
    /** Prompt tokens that at least one of the engines may prefill, if it does not hold them. */
    readonly budgetTokens: number;
    /** Tokens that at least one of the engines has memory for. */
    readonly memoryTokens: number;
    /** Tokens of the smallest refused task without a text, and the reason, by group. */
    readonly refused: Map<GroupId, { readonly tokens: number; readonly reason: WaitReason; }>;
}

/** Admits the tasks that one host runs to its engines. */
export class TaskAdmission {
    readonly memory = new EngineMemory<TaskRun>();
    readonly budget = new PromptBudget<TaskRun>();

    /** What `engines` admit at this time. */
    beginPass(engines: readonly EngineCapacity[]): AdmissionPass {
        let leastPrefilling = Infinity;
        let memoryTokens = 0;
        for (const engine of engines) {
            leastPrefilling = Math.min(leastPrefilling, this.budget.prefillingAt(engine.target));
            memoryTokens = Math.max(memoryTokens, this.memory.roomAt(engine));
        }
        const budgetTokens = leastPrefilling === 0 ? Infinity : promptBudgetTokens - leastPrefilling;
        return { engines, budgetTokens, memoryTokens, refused: new Map() };
    }

    /** Whether no engine of the pass can admit a run that has no text yet, by a cheap check. Records the reason. */
    isRefused(pass: AdmissionPass, run: TaskRun, now: Instant): boolean {
        if (run.size === undefined || run.progress.eventCount > 0 || this.budget.reservedFor(run) !== undefined) {
            return false;
        }
        const known = pass.refused.get(run.task.group);
        if (known !== undefined && totalTokens(run.size) >= known.tokens) {
            this.passOver(run, known.reason, pass.engines, now);
            return true;
        }
        const { sharedTokens, ownTokens, outputTokens } = run.size;
        const isOverBudget = sharedTokens + ownTokens > pass.budgetTokens;
        const isOverMemory = sharedTokens + ownTokens + outputTokens > pass.memoryTokens;
        if (!isOverBudget && !isOverMemory || this.memory.holdersOf(run.task.group).size > 0) {
            return false;
        }
        this.passOver(run, isOverMemory ? "memory" : "prompt-budget", pass.engines, now);
        return true;
    }

    /** The engines among `engines` that may start the run now. Records the reason if there is none. */
    admit(
        pass: AdmissionPass,
        run: TaskRun,
        engines: readonly EngineCapacity[],
        now: Instant,
    ): readonly EngineCapacity[] {
        if (run.size === undefined && !this.budget.hasReservations) {
            return engines;
        }
        let reason: WaitReason = "memory";
        const admitted: EngineCapacity[] = [];
        for (const engine of engines) {
            const refusal = this.refusalAt(run, engine);
            if (refusal === undefined) {
                admitted.push(engine);
            }
            else if (refusal === "prompt-budget") {
                reason = refusal;
            }
        }
        if (admitted.length === 0) {
            this.passOver(run, reason, engines, now);
            if (run.size !== undefined && run.progress.eventCount === 0 && engines === pass.engines) {
                pass.refused.set(run.task.group, { tokens: totalTokens(run.size), reason });
            }
        }
        return admitted;
    }

    /**
     * Whether a run with a long prompt lets the runs with shorter ones of its job go first. `wallNow` is in the clock of
     * the due times.
     */
    yields(run: TaskRun, engines: readonly EngineCapacity[], now: Instant, wallNow: Instant): boolean {
        if (run.size === undefined || run.size.sharedTokens + run.size.ownTokens <= longPromptTokens) {
            return false;
        }
        const isDueSoon = run.job.terms.dueAt - wallNow < dueSoonMs;
        const hasWaited = run.passedOverSince !== undefined && now - run.passedOverSince >= ageingMs;
        if (isDueSoon || hasWaited || engines.some(engine => this.promptTokensAt(run, engine) <= longPromptTokens)) {
            return false;
        }
        run.passedOverSince ??= now;
        run.blockedBy = "prompt-budget";
        return true;
    }

    /** Tokens that an engine prefills when it starts the run: what it does not hold of the prompt, and the text so far. */
    promptTokensAt({ task, size, progress }: TaskRun, engine: EngineCapacity): number {
        if (size === undefined) {
            return 0;
        }
        const ownTokens = size.ownTokens + progress.eventCount;
        return this.memory.holdsPrompt(engine, task.group) ? ownTokens : ownTokens + size.sharedTokens;
    }

    /** Records that an engine starts a run. */
    start(run: TaskRun, engine: EngineCapacity): void {
        run.passedOverSince = undefined;
        run.blockedBy = undefined;
        this.budget.cancelReservation(run);
        if (run.size !== undefined) {
            this.budget.begin(engine.target, run, this.promptTokensAt(run, engine));
            this.memory.place(engine, run, run.task.group, run.size);
        }
    }

    /** Records the first event of a run. Returns whether its prompt was being prefilled until now. */
    recordFirstEvent(run: TaskRun): boolean {
        return run.target !== undefined && this.budget.end(run.target, run);
    }

    /** Records that a run no longer runs at its engine. */
    end(run: TaskRun): void {
        if (run.target !== undefined && run.size !== undefined) {
            this.budget.end(run.target, run);
            this.memory.release(run.target, run);
        }
    }

    private refusalAt(run: TaskRun, engine: EngineCapacity): WaitReason | undefined {
        if (this.budget.isReservedForOther(engine.target, run)) {
            return "prompt-budget";
        }
        if (run.size === undefined) {
            return undefined;
        }
        const fit = this.memory.fitAt(engine, run.task.group, run.size);
        if (fit === "refused") {
            return "memory";
        }
        const { sharedTokens, ownTokens } = run.size;
        const isTail = fit === "with-prompt";
        const tokens = ownTokens + run.progress.eventCount + (isTail ? 0 : sharedTokens);
        return this.budget.admits(engine.target, tokens, isTail) ? undefined : "prompt-budget";
    }

    private passOver(run: TaskRun, reason: WaitReason, engines: readonly EngineCapacity[], now: Instant): void {
        run.blockedBy = reason;
        run.passedOverSince ??= now;
        const hasAged = run.size !== undefined && now - run.passedOverSince >= ageingMs;
        if (hasAged && this.budget.mayReserve(run, engines.length)) {
            this.budget.reserve(run, engines.map(({ target }) => target), now);
        }
    }
}

function totalTokens({ sharedTokens, ownTokens, outputTokens }: PromptSize): number {
    return sharedTokens + ownTokens + outputTokens;
}
