/** Tests of parsing and validating TOML. */

import { expect } from "chai";
import fc from "fast-check";
import * as z from "zod";
import { readToml } from "./readToml.js";

const schema = z.strictObject({ host: z.strictObject({ id: z.string() }) });

describe("readToml", () => {
    it("returns a value or findings that name the file for every text", () => {
        fc.assert(
            fc.property(fc.oneof(fc.string(), fc.string({ unit: "binary" }), arbitraryTomlLines()), text => {
                const res = readToml(schema, "f.toml", text);
                const findings = res.swap().orDefault([]);
                expect(res.isRight() || findings.length > 0).to.equal(true);
                for (const finding of findings) {
                    expect(finding.place.startsWith("f.toml")).to.equal(true);
                }
            }),
            { seed: 7, numRuns: 500 },
        );
    });
});

function arbitraryTomlLines(): fc.Arbitrary<string> {
    const line = fc.constantFrom(
        "[host]",
        "id = \"a\"",
        "id = 1",
        "[[host]]",
        "host.id = 'x'",
        "= 3",
        "[",
        "x = {",
        "",
    );
    return fc.array(line, { maxLength: 6 }).map(lines => lines.join("\n"));
}
