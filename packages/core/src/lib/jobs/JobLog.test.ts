/** Tests that positions of results never change, whichever host writes and whether or not a write is answered. */

import { expect } from "chai";
import { asId, type TaskId } from "../ids.js";
import { type TaskResult } from "./Job.js";
import { JobLog, pageOf } from "./JobLog.js";

function resultFixture(name: string, output = name): TaskResult {
    return { task: asId<TaskId>(name), state: "completed", output, versions: [], score: undefined };
}

/** Upper limit of a value of the store in bytes, and the share of it that is left when the value is written in base64. */
const maxValueBytes = 1_048_576;
const base64Share = 0.75;

describe("JobLog", () => {
    it("returns the same chunk until its outcome is known, whatever is added in between", () => {
        const log = new JobLog();
        log.add(resultFixture("a"));
        const chunk = log.chunkToWrite();
        log.add(resultFixture("b"));
        expect(log.chunkToWrite()).to.equal(chunk);
        expect(log.listed).to.deep.equal([]);
        log.adopt(chunk!);
        expect(log.listed.map(({ task }) => task)).to.deep.equal(["a"]);
        expect(log.chunkToWrite()).to.deep.include({ number: 1 });
    });

    it("lists the results in the store when another writer wrote the same tasks with other texts", () => {
        const log = new JobLog();
        log.add(resultFixture("a", "own"));
        log.chunkToWrite();
        log.adopt({ number: 0, results: [resultFixture("a", "other")] });
        expect(log.listed.map(({ output }) => output)).to.deep.equal(["other"]);
        expect(log.hasPending).to.equal(false);
    });

    it("queues results again that another writer's chunk has displaced", () => {
        const log = new JobLog();
        log.add(resultFixture("a"));
        log.add(resultFixture("b"));
        log.chunkToWrite();
        log.adopt({ number: 0, results: [resultFixture("b", "other")] });
        expect(log.chunkToWrite()).to.deep.equal({ number: 1, results: [resultFixture("a")] });
    });

    it("drops a second result of a task, and chunks with a number other than the next", () => {
        const log = new JobLog();
        expect(log.add(resultFixture("a"))).to.equal(true);
        expect(log.add(resultFixture("a", "other"))).to.equal(false);
        log.adopt({ number: 3, results: [resultFixture("z")] });
        expect(log.listed).to.deep.equal([]);
    });

    it("is out of sync while a write that got no answer may have added results to the store", () => {
        const log = new JobLog();
        log.add(resultFixture("a"));
        const chunk = log.chunkToWrite()!;
        expect(log.isInSync).to.equal(true);
        log.markOutOfSync();
        log.adopt({ number: 5, results: [] });
        expect(log.isInSync).to.equal(false);
        log.adopt(chunk);
        expect(log.isInSync).to.equal(true);
    });

    it("stays out of sync when another write got no answer while the store was read again", () => {
        const log = new JobLog();
        const first = log.markOutOfSync();
        const second = log.markOutOfSync();
        log.markInSync(first);
        expect(log.isInSync).to.equal(false);
        log.markInSync(second);
        expect(log.isInSync).to.equal(true);
    });

    // Guards against a chunk that the store refuses again and again, so that no later result of the job is ever listed.
    it("puts no more results into a chunk than the store takes in a value, whatever script their texts are in", () => {
        for (const character of ["s", "é", "石", "🪨"]) {
            const log = new JobLog();
            for (let nth = 0; nth < 184; nth++) {
                log.add(resultFixture(`t${nth}`, character.repeat(4000)));
            }
            let listed = 0;
            for (let chunk = log.chunkToWrite(); chunk !== undefined; chunk = log.chunkToWrite()) {
                const bytes = Buffer.byteLength(JSON.stringify(chunk.results));
                expect(bytes, `a chunk of "${character}"`).to.be.below(maxValueBytes * base64Share);
                log.adopt(chunk);
                listed += chunk.results.length;
            }
            expect(listed).to.equal(184);
        }
    });

    // Guards against a page that is larger than callers accept, because its texts grow when they are written as JSON.
    it("counts the bytes that a page takes as JSON, whatever characters its texts have", () => {
        for (const character of ["s", "石", "\"", "\u0001", "\u2028", "\ud800"]) {
            const listed = Array.from(
                { length: 60 },
                (unused, nth) => resultFixture(`t"${nth}`, character.repeat(900)),
            );
            for (let from = 0; from < listed.length;) {
                const page = pageOf(listed, from, 20_000);
                expect(page).to.not.deep.equal([]);
                expect(Buffer.byteLength(JSON.stringify(page)), `a page of ${JSON.stringify(character)}`).to.be.at.most(
                    20_000,
                );
                from += page.length;
            }
        }
    });

    it("pages by bytes, with at least one result", () => {
        const listed = [resultFixture("a", "x".repeat(900)), resultFixture("b", "x".repeat(900)), resultFixture("c")];
        expect(pageOf(listed, 0, 100)).to.have.length(1);
        expect(pageOf(listed, 0, 2200)).to.have.length(2);
        expect(pageOf(listed, 1, 5000)).to.have.length(2);
        expect(pageOf(listed, 3, 5000)).to.deep.equal([]);
    });
});
