/** Tests of positions: they never change, whoever else writes, and whatever becomes of a write's answer. */

import { expect } from "chai";
import { asId, type TaskId } from "../ids.js";
import { type TaskResult } from "./Job.js";
import { JobLog, pageOf } from "./JobLog.js";

function resultFixture(name: string, output = name): TaskResult {
    return { task: asId<TaskId>(name), state: "completed", output, versions: [] };
}

describe("JobLog", () => {
    it("repeats a chunk unchanged until its outcome is known, whatever is added meanwhile", () => {
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

    it("lists what the store holds when another writer listed the same tasks with other texts", () => {
        const log = new JobLog();
        log.add(resultFixture("a", "ours"));
        log.chunkToWrite();
        log.adopt({ number: 0, results: [resultFixture("a", "theirs")] });
        expect(log.listed.map(({ output }) => output)).to.deep.equal(["theirs"]);
        expect(log.hasPending).to.equal(false);
    });

    it("queues results again whose place another writer's chunk took", () => {
        const log = new JobLog();
        log.add(resultFixture("a"));
        log.add(resultFixture("b"));
        log.chunkToWrite();
        log.adopt({ number: 0, results: [resultFixture("b", "theirs")] });
        expect(log.chunkToWrite()).to.deep.equal({ number: 1, results: [resultFixture("a")] });
    });

    it("drops a second result of a task, and chunks that are not the next one", () => {
        const log = new JobLog();
        expect(log.add(resultFixture("a"))).to.equal(true);
        expect(log.add(resultFixture("a", "other"))).to.equal(false);
        log.adopt({ number: 3, results: [resultFixture("z")] });
        expect(log.listed).to.deep.equal([]);
    });

    it("is uncertain while a write without an answer may have put results into the store", () => {
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

    it("stays uncertain when another write lost its answer while the store was read again", () => {
        const log = new JobLog();
        const first = log.markOutOfSync();
        const second = log.markOutOfSync();
        log.markInSync(first);
        expect(log.isInSync).to.equal(false);
        log.markInSync(second);
        expect(log.isInSync).to.equal(true);
    });

    it("pages by bytes, with at least one result", () => {
        const listed = [resultFixture("a", "x".repeat(900)), resultFixture("b", "x".repeat(900)), resultFixture("c")];
        expect(pageOf(listed, 0, 100)).to.have.length(1);
        expect(pageOf(listed, 0, 2200)).to.have.length(2);
        expect(pageOf(listed, 1, 5000)).to.have.length(2);
        expect(pageOf(listed, 3, 5000)).to.deep.equal([]);
    });
});
