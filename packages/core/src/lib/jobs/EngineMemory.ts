/**
 * Tokens of prompts and texts that this host has placed at each engine. An engine that runs out of memory preempts its
 * newest run, and its own report lags by 100 to 200 ms, in which a step of 150 tasks arrives; so the host counts what it
 * has placed itself. A shared prompt counts once per group and engine. The prompts of groups without a run stay in the
 * engine's cache while there is room; they are tracked to estimate what is prefilled again, and do not count as used.
 */

import { type GroupId, type Incarnation, type TargetId } from "../ids.js";
import { type PromptSize } from "./promptSize.js";

const noTargets: ReadonlySet<TargetId> = new Set();

/** Share of an engine's memory up to which tasks are admitted; the rest is for what other hosts place there. */
const maxUsedShare = 0.9;

/** An engine and its memory in tokens; undefined or 0 while that is unknown. */
export interface MemoryOwner {
    readonly target: TargetId;
    readonly incarnation: Incarnation;
    readonly memoryTokens?: number | undefined;
}

/** Whether a task fits into an engine's memory, with or without the shared prompt of its group there. */
export type MemoryFit = "with-prompt" | "without-prompt" | "refused";

interface SharedPrompt {
    readonly tokens: number;
    users: number;
}

interface PlacedTask {
    readonly group: GroupId;
    readonly tokens: number;
}

interface Placements<Run> {
    readonly incarnation: Incarnation;
    readonly tasks: Map<Run, PlacedTask>;
    /** Shared prompts by group; those without users are ordered by when they were last used. */
    readonly prompts: Map<GroupId, SharedPrompt>;
    usedTokens: number;
    cachedTokens: number;
}

/** Counts the tokens placed at a set of engines, by `Run`: the object that stands for a task's place there. */
export class EngineMemory<Run> {
    private readonly engines = new Map<TargetId, Placements<Run>>();
    /** The engines that hold the prompt of a group. */
    private readonly holders = new Map<GroupId, Set<TargetId>>();

    /** Tokens of the tasks that are placed at an engine. */
    usedAt(target: TargetId): number {
        return this.engines.get(target)?.usedTokens ?? 0;
    }

    /** Whether the engine holds the shared prompt of a group: a task of it runs there, or its prompt is still cached. */
    holdsPrompt({ target, incarnation }: MemoryOwner, group: GroupId): boolean {
        const placements = this.engines.get(target);
        return placements !== undefined && placements.incarnation === incarnation && placements.prompts.has(group);
    }

    /** The engines that hold the shared prompt of a group, with restarted ones that held it before. */
    holdersOf(group: GroupId): ReadonlySet<TargetId> {
        return this.holders.get(group) ?? noTargets;
    }

    /** Tokens that an engine has room for; unlimited at an engine without tasks or of unknown memory. */
    roomAt({ target, memoryTokens }: MemoryOwner): number {
        const placements = this.engines.get(target);
        return placements === undefined || placements.tasks.size === 0 || !memoryTokens
            ? Infinity
            : maxUsedShare * memoryTokens - placements.usedTokens;
    }

    /**
     * Whether a task fits into the engine's memory, and whether the engine holds its shared prompt. An engine without
     * tasks admits any.
     */
    fitAt({ target, incarnation, memoryTokens }: MemoryOwner, group: GroupId, size: PromptSize): MemoryFit {
        const placements = this.engines.get(target);
        if (placements === undefined) {
            return "without-prompt";
        }
        const prompt = placements.prompts.get(group);
        if (placements.tasks.size > 0 && memoryTokens) {
            const sharedTokens = prompt !== undefined && prompt.users > 0 ? 0 : size.sharedTokens;
            const addedTokens = size.ownTokens + size.outputTokens + sharedTokens;
            if (placements.usedTokens + addedTokens > maxUsedShare * memoryTokens) {
                return "refused";
            }
        }
        return prompt !== undefined && placements.incarnation === incarnation ? "with-prompt" : "without-prompt";
    }

    /** Records that a task runs at an engine from now on. */
    place(engine: MemoryOwner, run: Run, group: GroupId, size: PromptSize): void {
        const placements = this.placementsAt(engine);
        const tokens = size.ownTokens + size.outputTokens;
        placements.tasks.set(run, { group, tokens });
        placements.usedTokens += tokens;
        const prompt = placements.prompts.get(group);
        if (prompt === undefined) {
            placements.prompts.set(group, { tokens: size.sharedTokens, users: 1 });
            this.addHolder(group, engine.target);
            placements.usedTokens += size.sharedTokens;
        }
        else {
            if (prompt.users === 0) {
                placements.usedTokens += prompt.tokens;
                placements.cachedTokens -= prompt.tokens;
            }
            prompt.users++;
        }
        this.evict(engine, placements);
    }

    /** Records that a task no longer runs at an engine. The prompt of its group stays cached there. */
    release(target: TargetId, run: Run): void {
        const placements = this.engines.get(target);
        const placed = placements?.tasks.get(run);
        if (placements === undefined || placed === undefined) {
            return;
        }
        placements.tasks.delete(run);
        placements.usedTokens -= placed.tokens;
        const prompt = placements.prompts.get(placed.group)!;
        prompt.users--;
        if (prompt.users === 0) {
            placements.usedTokens -= prompt.tokens;
            placements.cachedTokens += prompt.tokens;
            placements.prompts.delete(placed.group);
            placements.prompts.set(placed.group, prompt);
        }
    }

    /** Drops the cached prompts of groups that no job has any more. */
    forgetGroups(groups: ReadonlySet<GroupId>): void {
        for (const placements of this.engines.values()) {
            for (const group of groups) {
                const prompt = placements.prompts.get(group);
                if (prompt?.users === 0) {
                    placements.prompts.delete(group);
                    placements.cachedTokens -= prompt.tokens;
                }
            }
        }
        groups.forEach(group => this.holders.delete(group));
    }

    /** The placements at an engine. A restarted engine has lost its cache; tasks of its previous process still end. */
    private placementsAt({ target, incarnation }: MemoryOwner): Placements<Run> {
        const known = this.engines.get(target);
        if (known?.incarnation === incarnation) {
            return known;
        }
        const created: Placements<Run> = {
            incarnation,
            tasks: new Map(),
            prompts: new Map(),
            usedTokens: 0,
            cachedTokens: 0,
        };
        known?.prompts.forEach((unused, group) => this.removeHolder(group, target));
        this.engines.set(target, created);
        return created;
    }

    /** Drops cached prompts without users, the least recently used first, as far as the engine lacks room for them. */
    private evict({ target, memoryTokens }: MemoryOwner, placements: Placements<Run>): void {
        if (!memoryTokens) {
            return;
        }
        for (const [group, { tokens, users }] of placements.prompts) {
            if (placements.cachedTokens === 0 || placements.usedTokens + placements.cachedTokens <= memoryTokens) {
                return;
            }
            if (users === 0) {
                placements.prompts.delete(group);
                placements.cachedTokens -= tokens;
                this.removeHolder(group, target);
            }
        }
    }

    private addHolder(group: GroupId, target: TargetId): void {
        const targets = this.holders.get(group);
        if (targets === undefined) {
            this.holders.set(group, new Set([target]));
        }
        else {
            targets.add(target);
        }
    }

    private removeHolder(group: GroupId, target: TargetId): void {
        const targets = this.holders.get(group);
        if (targets?.delete(target) === true && targets.size === 0) {
            this.holders.delete(group);
        }
    }
}
