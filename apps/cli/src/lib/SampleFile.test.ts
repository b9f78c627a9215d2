/** Tests of the file in which a pull stores samples. */

import { type Sample } from "@tamarackpath/core";
import { expect } from "chai";
import { appendFileSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { SampleFile } from "./SampleFile.js";

function sampleFixture(index: number): Sample {
    return { index, group: "g", attempt: "a", text: "grüße", tokens: 1, spans: [], reward: undefined, finish: "stop" };
}

describe("SampleFile", () => {
    let folder = "";

    beforeEach(() => {
        folder = mkdtempSync(join(tmpdir(), "samples-"));
    });

    afterEach(() => rmSync(folder, { recursive: true }));

    it("resumes at the last cursor after a crash and drops the lines after it", () => {
        const path = join(folder, "s.jsonl");
        new SampleFile(path).append([sampleFixture(0), sampleFixture(1)], "c1");
        const whole = readFileSync(path, "utf8");
        appendFileSync(path, `${JSON.stringify(sampleFixture(2))}\n{"index":3,"gro`);
        const file = new SampleFile(path);
        expect(file.cursor).to.equal("c1");
        expect(file.samples).to.equal(2);
        expect(readFileSync(path, "utf8")).to.equal(whole);
    });

    it("starts empty", () => {
        const file = new SampleFile(join(folder, "new.jsonl"));
        expect(file.cursor).to.equal(undefined);
    });
});
