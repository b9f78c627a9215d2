/**
 * The queue of one pool: priority levels, parked work that no target is eligible for yet, and aging against starvation.
 */

import { type Instant } from "../ids.js";
import { type QueuedWork } from "./Flow.js";
import { compareLevels, Level, levelKeyOf } from "./Level.js";
import { isEligible, policies, type Random } from "./policies.js";
import { type PoolTargets, type TargetEntry, type TargetIndex } from "./TargetIndex.js";
import { type Work } from "./Work.js";

/** Queued work with the target that it was granted. */
export interface Grant {
    readonly item: QueuedWork;
    readonly entry: TargetEntry;
}

/** Milliseconds in the queue after which work of a lower level counts as aged. */
const agingThresholdMs = 2000;

/** Minimum number of grants by importance between two grants to aged work. */
const minGrantsBetweenAged = 8;

/** Pieces of work that one decision tries per level; those without an eligible target are parked. */
const maxTriesPerLevel = 8;

/** Pieces of parked work that are queued again when a slot is freed. */
const maxUnparkedPerRelease = 16;

/** Milliseconds after the last short work during which slots stay reserved for it. */
const reserveHoldMs = 30_000;

/** Holds one pool's queued work. */
export class PoolQueue {
    private readonly levels: Level[] = [];
    private readonly parked = new Set<QueuedWork>();
    private grantsSinceAged = 0;
    private lastShortWorkAt: Instant | undefined;
    private roundRobinTurn = 0;
    /** Share of slots that long work leaves free while there is short work. */
    reserveShortShare = 0;

    constructor(private readonly index: TargetIndex, private readonly targets: PoolTargets) {}

    /** The level that `work` belongs to. */
    level(work: Work): Level {
        const key = levelKeyOf(work);
        const known = this.levels.find(level => compareLevels(level.key, key) === 0);
        if (known !== undefined) {
            return known;
        }
        const created = new Level(key, work.policy === "tamarack");
        this.levels.push(created);
        this.levels.sort((a, b) => compareLevels(a.key, b.key));
        return created;
    }

    add(item: QueuedWork, now: Instant): void {
        if (item.work.policy === "tamarack" && item.work.workClass === "answer") {
            this.lastShortWorkAt = now;
        }
        this.level(item.work).add(item);
    }

    remove(item: QueuedWork): void {
        if (!this.parked.delete(item)) {
            this.level(item.work).remove(item);
        }
    }

    /** Number of pieces of work that would go before `work`. */
    countAhead(work: Work): number {
        const key = levelKeyOf(work);
        return this.levels.reduce((sum, level) => compareLevels(level.key, key) <= 0 ? sum + level.size : sum, 0);
    }

    /** Queues parked work again: all of it, or the pieces that were parked first. */
    unpark(all: boolean): void {
        let left = all ? this.parked.size : maxUnparkedPerRelease;
        for (const item of this.parked) {
            if (left-- <= 0) {
                return;
            }
            this.parked.delete(item);
            item.isParked = false;
            this.level(item.work).add(item);
        }
    }

    /** Removes and returns the next work that a target has room for, with that target. */
    next(now: Instant, random: Random): Grant | undefined {
        const hasRecentShortWork = this.lastShortWorkAt !== undefined && now - this.lastShortWorkAt < reserveHoldMs;
        this.targets.setReserve(hasRecentShortWork ? this.reserveShortShare : 0);
        if (this.targets.availableFor("short").size === 0) {
            return undefined;
        }
        return this.nextAged(now, random) ?? this.nextByImportance(random);
    }

    private nextAged(now: Instant, random: Random): Grant | undefined {
        if (this.grantsSinceAged < minGrantsBetweenAged) {
            return undefined;
        }
        for (let nth = this.levels.length - 1; nth > 0; nth--) {
            const first = this.levels[nth]!.first();
            if (first !== undefined && now - first.work.arrivedAt >= agingThresholdMs) {
                const grant = this.takeFrom(this.levels[nth]!, random);
                if (grant !== undefined) {
                    this.grantsSinceAged = 0;
                    return grant;
                }
            }
        }
        return undefined;
    }

    private nextByImportance(random: Random): Grant | undefined {
        for (const level of this.levels) {
            const grant = this.takeFrom(level, random);
            if (grant !== undefined) {
                this.grantsSinceAged++;
                return grant;
            }
        }
        return undefined;
    }

    private takeFrom(level: Level, random: Random): Grant | undefined {
        for (let tries = 0; tries < maxTriesPerLevel && this.targets.availableFor(level.key.lane).size > 0; tries++) {
            const first = level.first();
            if (first === undefined) {
                return undefined;
            }
            const entry = this.choose(first, random);
            if (entry !== undefined) {
                const item = this.preferWorkWithPrefixOn(first, entry);
                level.remove(item);
                level.charge(item);
                return { item, entry };
            }
            level.remove(first);
            first.isParked = true;
            this.parked.add(first);
        }
        return undefined;
    }

    private choose({ work, preferredTargets }: QueuedWork, random: Random): TargetEntry | undefined {
        const turn = this.roundRobinTurn++;
        return policies[work.policy]({
            index: this.index,
            pool: this.targets,
            work,
            preferredTargets,
            random,
            turn,
        });
    }

    /**
     * If `entry` is not a preferred target of the first work, equally urgent work with its prefix there goes instead.
     */
    private preferWorkWithPrefixOn(first: QueuedWork, entry: TargetEntry): QueuedWork {
        const { target } = entry.view;
        if (first.work.policy !== "tamarack" || first.preferredTargets.includes(target)) {
            return first;
        }
        const other = first.flow.equallyUrgentFor(first, target);
        return other !== undefined && isEligible(entry, other.work) ? other : first;
    }
}
