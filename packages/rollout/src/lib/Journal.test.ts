/** Tests that logging is structured, bounded, and never blocks on its output. */

import { expect } from "chai";
import { createJournal, type LineOutput } from "./Journal.js";

function outputFixture(): LineOutput & { lines: string[]; isFull: boolean; drain: () => void; } {
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
        const output = outputFixture();
        createJournal("h1", output).log("job-kept", { job: "j", tasks: 3 });
        const line = JSON.parse(output.lines[0]!) as Record<string, unknown>;
        expect(line).to.deep.include({ host: "h1", event: "job-kept", job: "j", tasks: 3 });
        expect(Object.keys(line)).to.have.length(5);
    });

    it("buffers a bounded number of lines while the output is full, and counts the dropped ones", () => {
        const output = outputFixture();
        const journal = createJournal("h1", output);
        output.isFull = true;
        for (let nth = 0; nth < 5000; nth++) {
            journal.log("task-started", { task: `t${nth}` });
        }
        expect(output.lines).to.have.length(1);
        output.isFull = false;
        output.drain();
        expect(output.lines).to.have.length(2002);
        expect(JSON.parse(output.lines.at(-1)!)).to.deep.include({ event: "lines-dropped", lines: 2999 });
    });
});
