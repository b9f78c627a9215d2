import { assert } from "chai";
import { readChunk } from "./readChunk.js";

describe("readChunk", () => {
    it("reads text, version and finish", () => {
        const data = JSON.stringify({ choices: [{ text: "a", finish_reason: "stop" }], weight_version: "7" });
        assert.deepEqual(readChunk(data), { text: "a", version: 7 as never, finish: "stop" });
        assert.deepEqual(readChunk(JSON.stringify({ choices: [{ text: "", finish_reason: null }] })), {
            text: "",
            version: undefined,
            finish: undefined,
        });
    });

    it("throws for invalid chunks", () => {
        const invalidChunks = [
            null,
            7,
            {},
            { choices: [] },
            { choices: [{ text: 1 }] },
            { choices: [{ text: "a", finish_reason: "other" }] },
            { choices: [{ text: "a" }], weight_version: "seven" },
            { choices: [{ text: "a" }], weight_version: "" },
            { choices: [{ text: "a" }], weight_version: 1.5 },
            { choices: [{ text: "a" }], weight_version: null },
        ];
        invalidChunks.forEach(chunk => assert.throws(() => readChunk(JSON.stringify(chunk)), Error));
    });
});
