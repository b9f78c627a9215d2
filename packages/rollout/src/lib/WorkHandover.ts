/**
 * Passes the work of a conductor to its successor: results that are not listed yet and the texts of unfinished tasks. The
 * copies are not authoritative; they only save work.
 */

import {
    after,
    type Clock,
    type ConductorHandover,
    type HostId,
    type Instant,
    type JobScheduler,
    type KeyRevision,
    type PeerNetwork,
    type Problem,
    problem,
    type UnstoredWork,
} from "@tamarackpath/core";
import { type Either, Left, Right } from "purify-ts";
import { type ConductorTask } from "./ConductorTask.js";
import { type JobRegistry } from "./JobRegistry.js";
import { type JobRunner } from "./JobRunner.js";
import { type Journal } from "./Journal.js";

/** Milliseconds that the previous conductor has to answer a request for its work. */
const handoverTimeoutMs = 500;

/** Takes over work from the predecessor, and yields it to the successor. */
export class WorkHandover {
    constructor(
        private readonly conductor: ConductorTask,
        private readonly scheduler: JobScheduler,
        private readonly registry: JobRegistry,
        private readonly runner: JobRunner,
        private readonly peers: PeerNetwork,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {}

    /**
     * Requests the unlisted results and unfinished texts of the previous conductor; returns the age of its last order.
     */
    async takeOver(predecessor: HostId, fence: KeyRevision, deadline: Instant): Promise<number | undefined> {
        const { peers, clock, journal } = this;
        peers.setAddress(predecessor, predecessor);
        const answerBy = Math.min(deadline, after(clock.now(), handoverTimeoutMs)) as Instant;
        const res = await peers.ask(predecessor, "conductor-yield", { fence }, answerBy);
        const handover = res.toMaybe().chain(answer => answer.toMaybe()).extract();
        if (handover !== undefined && this.conductor.term.currentClaim?.fence === fence) {
            this.adopt(handover);
        }
        journal.log("handover-taken", {
            from: predecessor,
            answered: handover !== undefined,
            results: handover?.results.length,
            texts: handover?.texts.length,
            lastOrderAgeMs: handover?.lastOrderAgeMs,
        });
        return handover === undefined ? undefined : handover.lastOrderAgeMs ?? Infinity;
    }

    /**
     * Returns this host's unlisted results and unfinished texts for its successor, and stops its jobs. A host whose claim
     * is not the latest gets nothing, and nothing stops for it.
     */
    yieldTo(successor: HostId, fence: KeyRevision): Either<Problem, ConductorHandover> {
        // The work ends with the event of the new conductor, after the handover has been put together.
        if (!this.conductor.yieldTo(successor, fence)) {
            return Left(problem("conflict", "A later claim than this one is known."));
        }
        const texts = this.scheduler.texts.flatMap(({ task, progress }) => {
            const text = progress.snapshot(0);
            return text === undefined ? [] : [{ task, text }];
        });
        return Right({ lastOrderAgeMs: this.conductor.lastOrderAgeMs, results: this.registry.unlisted, texts });
    }

    /** Adds results and texts that another host kept. */
    adopt({ results, texts }: UnstoredWork): void {
        results.forEach(({ job, result }) => this.registry.adoptResult(job, result));
        for (const copy of texts) {
            const run = this.scheduler.adoptText(copy);
            if (run !== undefined) {
                this.runner.restartFrom(run, copy.text);
            }
        }
    }
}
