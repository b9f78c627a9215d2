/** Tests that only the holder of the claim opens jobs. */

import { createMonotonicClock } from "@tamarackpath/adapters";
import {
    asId,
    type Instant,
    type Job,
    type JobId,
    JobScheduler,
    type KeyRevision,
    type ServiceId,
} from "@tamarackpath/core";
import { expect } from "chai";
import { JobBook } from "./JobBook.js";
import { JobStore } from "./JobStore.js";
import { silentJournal } from "./Journal.js";
import { MemoryTransactionalStore } from "./MemoryStore.test.js";
import { defaultRolloutSettings } from "./RolloutSettings.js";

function jobFixture(id: string): Job {
    return {
        id: asId<JobId>(id),
        host: "h",
        path: "/p/",
        submittedAt: 0 as Instant,
        step: 0,
        model: "m",
        minVersion: 1 as Job["minVersion"],
        targetGroups: 1,
        tasks: [],
    };
}

describe("JobBook", () => {
    it("opens no job after its host lost the claim, and goes on with those it has", async () => {
        let fence: KeyRevision | undefined = 3 as KeyRevision;
        const clock = createMonotonicClock();
        const board = new JobScheduler(() => 1);
        const terms = {
            service: asId<ServiceId>("s"),
            maxAttempts: 3,
            priority: 1,
            singleVersion: false,
            expiresAt: 0 as Instant,
            dueAt: 0 as Instant,
        };
        const book = new JobBook(
            {
                settings: defaultRolloutSettings,
                termsOf: () => terms,
                fence: () => fence,
                onClaimChanged: () => undefined,
            },
            board,
            new JobStore(new MemoryTransactionalStore(), clock),
            clock,
            silentJournal,
        );
        book.activate();
        await book.open(jobFixture("a"), true);
        fence = undefined;
        await book.open(jobFixture("b"), true);
        expect(board.open.map(({ job }) => job.id)).to.deep.equal(["a"]);
    });
});
