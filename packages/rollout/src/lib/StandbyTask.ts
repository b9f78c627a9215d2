/**
 * Keeps copies of what only the conductor has: results that are not listed yet and the texts of long unfinished samples.
 * The conductor sends what is new to two hosts in other zones, and each of them passes all of it on to a new conductor,
 * so that losing the conductor costs a moment and not the samples that a step waits for. The copies settle nothing: they
 * only spare work, and a copy that is lost is made again.
 */

import {
    after,
    type Clock,
    type HostId,
    type JobScheduler,
    type PeerNetwork,
    type ProgressSnapshot,
    type StandbyUpdate,
    type TaskId,
    type TaskResult,
    type TextId,
    type UnlistedResult,
    type UnstoredWork,
    type ZoneId,
} from "@tamarackpath/core";
import { Right } from "purify-ts";
import { type JobBook } from "./JobBook.js";
import { type Journal } from "./Journal.js";

/** A host that pulls the conductor's view. */
export interface Follower {
    readonly host: HostId;
    readonly zone: ZoneId;
    readonly hasCallers: boolean;
}

/** What a standby task needs of the host. */
export interface StandbyOptions {
    readonly zone: ZoneId;
    /** Hosts that follow this one lately. */
    readonly followers: () => readonly Follower[];
    /** Takes the copies that another host kept, at the conductor. */
    readonly adopt: (work: UnstoredWork) => void;
    readonly isConductor: () => boolean;
}

/** Milliseconds between copies. */
const copyEveryMs = 400;

/** Milliseconds that a standby has to take a copy. */
const copyMs = 800;

/** Milliseconds that a conductor has to take what a standby kept: a few megabytes over the slowest link of a host. */
const passMs = 2000;

/** Events from which on a text is copied, and by which it must have grown for another copy. */
const copyEvents = 10;

/** Most texts that a standby keeps. */
const mostKept = 1500;

/** What one standby has of the conductor's work. */
interface SentCopies {
    readonly texts: Map<TaskId, { readonly textId: TextId; readonly events: number; }>;
    readonly results: Set<TaskResult>;
}

/** Keeps and sends copies. */
export class StandbyTask {
    private readonly keptTexts = new Map<TaskId, ProgressSnapshot>();
    private keptResults: UnlistedResult[] = [];
    /** The conductor whose work is kept. */
    private keptFor: HostId | undefined;
    /** What each standby has. */
    private readonly sent = new Map<HostId, SentCopies>();
    /** Standbys with a copy on its way. */
    private readonly sending = new Set<HostId>();
    private cancelCopy: (() => void) | undefined;

    constructor(
        private readonly options: StandbyOptions,
        private readonly board: JobScheduler,
        private readonly book: JobBook,
        private readonly peers: PeerNetwork,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {
        peers.handle("standby-keep", async (copy, from) => {
            if (this.keptFor !== undefined && this.keptFor !== from) {
                // A new conductor's first copy may arrive before this host hears who conducts.
                void this.passOn(from);
            }
            this.keptFor = from;
            this.keep(copy);
            return Right({});
        });
        peers.handle("standby-work", async work => {
            if (options.isConductor()) {
                options.adopt(work);
            }
            return Right({});
        });
    }

    /** Begins to send copies, and takes what this host kept for the conductor before. */
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

    /** Passes what this host kept on to a new conductor. */
    async passOn(conductor: HostId): Promise<void> {
        const kept = this.takeKept();
        if (kept.results.length + kept.texts.length === 0) {
            return;
        }
        this.peers.setAddress(conductor, conductor);
        const res = await this.peers.ask(conductor, "standby-work", kept, after(this.clock.now(), passMs));
        this.journal.log("standby-passed", {
            conductor,
            results: kept.results.length,
            texts: kept.texts.length,
            taken: res.isRight(),
        });
        if (res.isLeft()) {
            this.putBack(kept);
        }
    }

    /** Keeps work that its conductor did not take, for the next one; newer copies stand. */
    private putBack({ results, texts }: UnstoredWork): void {
        this.keptResults = [...results, ...this.keptResults].slice(-mostKept);
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

    private keep({ isFirst, results, texts, settled }: StandbyUpdate): void {
        if (isFirst) {
            this.takeKept();
        }
        const isSettled = new Set(settled);
        settled.forEach(task => this.keptTexts.delete(task));
        this.keptResults = [...this.keptResults.filter(({ result }) => !isSettled.has(result.task)), ...results]
            .slice(-mostKept);
        for (const { task, from, text } of texts) {
            const known = this.keptTexts.get(task);
            const start = from === 0 ? [] : known?.textId === text.textId ? known.pieces.slice(0, from) : undefined;
            if (start?.length === from) {
                this.keptTexts.delete(task);
                this.keptTexts.set(task, { ...text, pieces: [...start, ...text.pieces] });
            }
        }
        for (const oldest of this.keptTexts.keys()) {
            if (this.keptTexts.size <= mostKept) {
                break;
            }
            this.keptTexts.delete(oldest);
        }
    }

    private copy(): void {
        // A copy that is still on its way holds the next one back, so that a slow standby costs no memory here.
        for (const host of this.standbys().filter(standby => !this.sending.has(standby))) {
            const copy = this.newFor(host);
            if (copy.texts.length + copy.results.length + copy.settled.length > 0) {
                void this.send(host, copy);
            }
        }
        this.cancelCopy = this.clock.callAt(after(this.clock.now(), copyEveryMs), () => this.copy());
    }

    /** What a standby does not have yet; it counts as sent. */
    private newFor(host: HostId): StandbyUpdate {
        const before = this.sent.get(host);
        const now: SentCopies = { texts: new Map(), results: new Set() };
        const texts = this.board.texts.flatMap(({ task, progress }) => {
            const known = before?.texts.get(task);
            const from = known?.textId === progress.textId ? known.events : 0;
            const text = progress.eventCount - from >= copyEvents ? progress.snapshot(from) : undefined;
            if (text !== undefined) {
                now.texts.set(task, { textId: text.textId, events: from + text.pieces.length });
            }
            else if (known !== undefined) {
                now.texts.set(task, known);
            }
            return text === undefined ? [] : [{ task, from, text }];
        });
        const { unlisted } = this.book;
        unlisted.forEach(({ result }) => now.results.add(result));
        this.sent.set(host, now);
        const isKept = new Set([...now.texts.keys(), ...unlisted.map(({ result }) => result.task)]);
        const had = [...before?.texts.keys() ?? [], ...[...before?.results ?? []].map(({ task }) => task)];
        return {
            isFirst: before === undefined,
            results: unlisted.filter(({ result }) => before?.results.has(result) !== true),
            texts,
            settled: had.filter(task => !isKept.has(task)),
        };
    }

    private async send(host: HostId, copy: StandbyUpdate): Promise<void> {
        this.sending.add(host);
        this.peers.setAddress(host, host);
        const res = await this.peers.ask(host, "standby-keep", copy, after(this.clock.now(), copyMs));
        this.sending.delete(host);
        if (res.isLeft()) {
            this.sent.delete(host);
        }
    }

    /** One host with callers and one without, in other zones if there are any. */
    private standbys(): readonly HostId[] {
        const followers = this.options.followers();
        const choose = (hasCallers: boolean): readonly HostId[] => {
            const fitting = followers.filter(follower => follower.hasCallers === hasCallers);
            const elsewhere = fitting.filter(({ zone }) => zone !== this.options.zone);
            return (elsewhere.length > 0 ? elsewhere : fitting).map(({ host }) => host).sort().slice(0, 1);
        };
        return [...choose(true), ...choose(false)];
    }
}
