/** Tests of the timeline that is built from logs. */

import { expect } from "chai";
import { readLogLines, timelineOf } from "./explain.js";

const log = [
    `12.5 host-a {"at":1000,"host":"a","event":"task-started","task":"t1","target":"e1"}`,
    `{"at":900,"host":"a","event":"store-lost","duty":"jobs"}`,
    `{"at":1500,"host":"a","event":"task-ended","task":"t1","target":"e1","end":"fault"}`,
    `{"at":1400,"host":"b","event":"store-lost","duty":"jobs"}`,
    `{"at":1600,"host":"a","event":"target-resting","target":"e1"}`,
    `{"at":2000,"host":"a","event":"results-listed","tasks":["t1 failed","t2"]}`,
    `{"at":2100,"host":"a","event":"results-li`,
    `{"at":99000,"host":"a","event":"store-lost","duty":"jobs"}`,
    "plain text",
].join("\n");

describe("explain", () => {
    it("reads the objects of a log, with or without a prefix, and skips truncated lines", () => {
        expect(readLogLines(log)).to.have.length(7);
    });

    it("returns the lines with the id and the state changes of their hosts, in chronological order", () => {
        const timeline = timelineOf(readLogLines(log), "t1").map(({ at, event }) => `${at} ${event}`);
        expect(timeline).to.deep.equal([
            "900 store-lost",
            "1000 task-started",
            "1500 task-ended",
            "1600 target-resting",
            "2000 results-listed",
        ]);
        expect(timelineOf(readLogLines(log), "t9")).to.deep.equal([]);
    });

    it("omits targets without a line with the id, and merges repeated state changes", () => {
        const lines = [
            `{"at":1000,"host":"a","event":"task-started","task":"t1","target":"e1"}`,
            ...[1010, 1020, 1030].map(at => `{"at":${at},"host":"a","event":"target-resting","target":"e1"}`),
            `{"at":1040,"host":"a","event":"target-resting","target":"e2"}`,
            `{"at":2500,"host":"a","event":"target-resting","target":"e1"}`,
        ];
        const timeline = timelineOf(readLogLines(lines.join("\n")), "t1");
        expect(timeline.map(({ at, event, times }) => `${at} ${event} ${String(times)}`)).to.deep.equal([
            "1000 task-started undefined",
            "1010 target-resting 3",
            "2500 target-resting undefined",
        ]);
    });
});
