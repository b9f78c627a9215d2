/**
 * Keeps standby copies of what only the conductor has: unlisted results, texts that wait for their score, and long texts
 * of unfinished samples. The
 * conductor sends additions to two hosts in other zones, and each of them passes its copies on to a new conductor, so
 * that the loss of a conductor causes a short delay and does not lose the samples that a step waits for. The copies are
 * not authoritative: they only save work, and a lost copy is made again.
 */

import {
    after,
    type Clock,
    type HostId,
    type JobScheduler,
    type KeyRevision,
    type PeerNetwork,
    type Problem,
    problem,
    type ProgressSnapshot,
    type StandbyAnswer,
    type StandbyUpdate,
    type TaskId,
    type TaskResult,
    type TextId,
    type UnlistedResult,
    type UnstoredWork,
    type ZoneId,
} from "@tamarackpath/core";
import { type Either, Left, Right } from "purify-ts";
import { type JobRegistry } from "./JobRegistry.js";
import { type Journal } from "./Journal.js";

/** A host that pulls this host's view. */
export interface Follower {
    readonly host: HostId;
    readonly zone: ZoneId;
    readonly hasCallers: boolean;
    /** Whether it said that it reaches targets. */
    readonly reachesTargets: boolean;
}

/** Options of a standby task. */
export interface StandbyOptions {
    readonly zone: ZoneId;
    /** Hosts that pulled this host's view recently. */
    readonly followers: () => readonly Follower[];
    /** Adds the copies that another host kept to this host's jobs, when it is the conductor. */
    readonly adopt: (work: UnstoredWork) => void;
    readonly isConductor: () => boolean;
    /** Fencing token of this host's claim, or of its last one. */
    readonly fence: () => KeyRevision | undefined;
}

/** Milliseconds between copies to a standby. */
const copyIntervalMs = 400;

/** Milliseconds that a standby has to acknowledge a copy. */
const copyTimeoutMs = 800;

/**
 * Milliseconds that a conductor has to acknowledge a standby's copies: a few megabytes over the slowest link of a host.
 */
const passTimeoutMs = 2000;

/** Minimum number of events of a text for its first copy, and by which it must have grown for each further one. */
const minCopyEvents = 10;

/** Upper limit of the texts, and of the results, that a standby keeps. */
const maxKeptEntries = 1500;

/** The texts and results that were sent to one standby. */
interface SentCopies {
    readonly texts: Map<
        TaskId,
        { readonly textId: TextId; readonly events: number; readonly isComplete: boolean; }
    >;
    readonly results: Set<TaskResult>;
}

/** Sends copies as conductor, and keeps them as standby. */
export class StandbyTask {
    private readonly keptTexts = new Map<TaskId, ProgressSnapshot>();
    private keptResults: UnlistedResult[] = [];
    /** The conductor whose work this host keeps, and the fencing token of its claim. */
    private keptFrom: { readonly conductor: HostId; readonly fence: KeyRevision | undefined; } | undefined;
    /** The copies that each standby has. */
    private readonly sent = new Map<HostId, SentCopies>();
    /** Standbys with a copy in flight. */
    private readonly sending = new Set<HostId>();
    private cancelCopy: (() => void) | undefined;

    constructor(
        private readonly options: StandbyOptions,
        private readonly scheduler: JobScheduler,
        private readonly registry: JobRegistry,
        private readonly peers: PeerNetwork,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {
        peers.handle("standby-keep", async (copy, from) => this.keepFrom(from, copy));
        peers.handle("standby-work", async work => {
            if (options.isConductor()) {
                options.adopt(work);
            }
            return Right({});
        });
    }

    /** Begins to send copies, and adopts the copies that this host kept for the previous conductor. */
    activate(): void {
        this.cancelCopy?.();
        this.sent.clear();
        this.options.adopt(this.takeKept());
        this.copy();
    }

    deactivate(): void {
        this.cancelCopy?.();
        this.cancelCopy = undefined;
    }

    /** Passes the copies that this host keeps on to a new conductor. */
    async passOn(conductor: HostId): Promise<void> {
        const kept = this.takeKept();
        if (kept.results.length + kept.texts.length === 0) {
            return;
        }
        this.peers.setAddress(conductor, conductor);
        const res = await this.peers.ask(conductor, "standby-work", kept, after(this.clock.now(), passTimeoutMs));
        this.journal.log("standby-passed", {
            conductor,
            results: kept.results.length,
            texts: kept.texts.length,
            taken: res.isRight(),
        });
        if (res.isLeft()) {
            this.restoreKept(kept);
        }
    }

    /** Restores copies that a conductor did not acknowledge, for the next one; newer copies are not replaced. */
    private restoreKept({ results, texts }: UnstoredWork): void {
        this.keptResults = [...results, ...this.keptResults].slice(-maxKeptEntries);
        texts.filter(({ task }) => !this.keptTexts.has(task)).forEach(({ task, text }) =>
            this.keptTexts.set(task, text)
        );
    }

    private takeKept(): UnstoredWork {
        const texts = [...this.keptTexts].map(([task, text]) => ({ task, text }));
        const results = this.keptResults;
        this.keptTexts.clear();
        this.keptResults = [];
        return { results, texts };
    }

    private keepFrom(conductor: HostId, copy: StandbyUpdate): Either<Problem, StandbyAnswer> {
        const { keptFrom } = this;
        const { fence } = copy;
        if (fence !== undefined && fence < (keptFrom?.fence ?? 0)) {
            return Left(problem("conflict", "A later claim than this one is known."));
        }
        const isSameTerm = keptFrom?.conductor === conductor && keptFrom.fence === fence;
        if (keptFrom !== undefined && !isSameTerm) {
            // A new conductor's first copy may arrive before this host is notified of the change of conductor.
            void this.passOn(conductor);
        }
        this.keptFrom = { conductor, fence };
        const isWhole = this.keep(copy);
        return Right({ needsAll: !isWhole || !copy.isFirst && !isSameTerm });
    }

    /**
     * Applies a copy; false when parts of texts had to be dropped, since their beginning is missing and has not been evicted
     * here.
     */
    private keep({ isFirst, results, texts, settled }: StandbyUpdate): boolean {
        if (isFirst) {
            this.takeKept();
        }
        let hasGap = false;
        const mayHaveEvicted = this.keptTexts.size >= maxKeptEntries;
        const isSettled = new Set(settled);
        settled.forEach(task => this.keptTexts.delete(task));
        this.keptResults = [...this.keptResults.filter(({ result }) => !isSettled.has(result.task)), ...results]
            .slice(-maxKeptEntries);
        for (const { task, from, text } of texts) {
            const known = this.keptTexts.get(task);
            const start = from === 0 ? [] : known?.textId === text.textId ? known.pieces.slice(0, from) : undefined;
            if (start?.length === from) {
                this.keptTexts.delete(task);
                this.keptTexts.set(task, { ...text, pieces: [...start, ...text.pieces] });
            }
            else {
                hasGap = true;
            }
        }
        for (const oldest of this.keptTexts.keys()) {
            if (this.keptTexts.size <= maxKeptEntries) {
                break;
            }
            this.keptTexts.delete(oldest);
        }
        return !hasGap || mayHaveEvicted;
    }

    private copy(): void {
        this.cancelCopy = this.clock.callAt(after(this.clock.now(), copyIntervalMs), () => this.copy());
        // A standby gets no further copy while the last one is in flight, so that copies to a slow standby do not use
        // up this host's memory.
        for (const host of this.chooseStandbys().filter(standby => !this.sending.has(standby))) {
            const copy = this.nextCopyFor(host);
            if (copy.texts.length + copy.results.length + copy.settled.length > 0) {
                void this.send(host, copy);
            }
        }
    }

    /** Returns what a standby does not have yet, and records it as sent. */
    private nextCopyFor(host: HostId): StandbyUpdate {
        const previous = this.sent.get(host);
        const current: SentCopies = { texts: new Map(), results: new Set() };
        const texts = this.scheduler.texts.flatMap(({ task, progress }) => {
            const sentText = previous?.texts.get(task);
            const from = sentText?.textId === progress.textId ? sentText.events : 0;
            const isNews = progress.eventCount - from >= minCopyEvents
                || progress.isComplete && sentText?.isComplete !== true;
            const text = isNews ? progress.snapshot(from) : undefined;
            if (text !== undefined) {
                const { textId, pieces, isComplete } = text;
                current.texts.set(task, { textId, events: from + pieces.length, isComplete });
            }
            else if (sentText !== undefined) {
                current.texts.set(task, sentText);
            }
            return text === undefined ? [] : [{ task, from, text }];
        });
        const { unlisted } = this.registry;
        unlisted.forEach(({ result }) => current.results.add(result));
        this.sent.set(host, current);
        const isKept = new Set([...current.texts.keys(), ...unlisted.map(({ result }) => result.task)]);
        const previousTasks = [
            ...previous?.texts.keys() ?? [],
            ...[...previous?.results ?? []].map(({ task }) => task),
        ];
        return {
            fence: this.options.fence(),
            isFirst: previous === undefined,
            results: unlisted.filter(({ result }) => previous?.results.has(result) !== true),
            texts,
            settled: previousTasks.filter(task => !isKept.has(task)),
        };
    }

    private async send(host: HostId, copy: StandbyUpdate): Promise<void> {
        this.sending.add(host);
        this.peers.setAddress(host, host);
        const res = await this.peers.ask(host, "standby-keep", copy, after(this.clock.now(), copyTimeoutMs));
        this.sending.delete(host);
        const answer = res.toMaybe().chain(each => each.toMaybe()).extract();
        if (answer === undefined || answer.needsAll === true) {
            this.sent.delete(host);
        }
    }

    /** Chooses one host with callers and one without, in other zones if there are any. */
    private chooseStandbys(): readonly HostId[] {
        const followers = this.options.followers();
        const choose = (hasCallers: boolean): readonly HostId[] => {
            const candidates = followers.filter(follower => follower.hasCallers === hasCallers);
            const inOtherZones = candidates.filter(({ zone }) => zone !== this.options.zone);
            return (inOtherZones.length > 0 ? inOtherZones : candidates).map(({ host }) => host).sort().slice(0, 1);
        };
        return [...choose(true), ...choose(false)];
    }
}
