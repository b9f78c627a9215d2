/** Tests that logging is structured, bounded, and never waits for its reader. */

import { expect } from "chai";
import { createJournal, type LineSink } from "./Journal.js";

function sinkFixture(): LineSink & { lines: string[]; isFull: boolean; drain: () => void; } {
    let waiting: (() => void) | undefined;
    return {
        lines: [],
        isFull: false,
        write(text) {
            this.lines.push(text);
            return !this.isFull;
        },
        once: (unused, run) => waiting = run,
        drain() {
            waiting?.();
        },
    };
}

describe("createJournal", () => {
    it("writes a line of JSON for each event with its fields", () => {
        const sink = sinkFixture();
        createJournal("h1", sink).log("job-kept", { job: "j", tasks: 3 });
        const line = JSON.parse(sink.lines[0]!) as Record<string, unknown>;
        expect(line).to.deep.include({ host: "h1", event: "job-kept", job: "j", tasks: 3 });
        expect(Object.keys(line)).to.have.length(5);
    });

    it("keeps a bounded number of lines while the reader stalls, and counts what it drops", () => {
        const sink = sinkFixture();
        const journal = createJournal("h1", sink);
        sink.isFull = true;
        for (let nth = 0; nth < 5000; nth++) {
            journal.log("task-started", { task: `t${nth}` });
        }
        expect(sink.lines).to.have.length(1);
        sink.isFull = false;
        sink.drain();
        expect(sink.lines).to.have.length(2002);
        expect(JSON.parse(sink.lines.at(-1)!)).to.deep.include({ event: "lines-dropped", lines: 2999 });
    });
});
