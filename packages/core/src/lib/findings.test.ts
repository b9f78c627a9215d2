/** Tests of findings. */

import { expect } from "chai";
import * as z from "zod";
import { check } from "./findings.js";

const schema = z.strictObject({
    host: z.strictObject({ id: z.string(), zone: z.string() }),
    list: z.array(z.strictObject({ name: z.string(), count: z.number().int().min(1) })).default([]),
});

function findingsOf(input: unknown): readonly { place: string; allowed: string; }[] {
    return check(schema, input, "file").swap().orDefault([]);
}

describe("check", () => {
    it("reports all faults together, each with its place", () => {
        const findings = findingsOf({ host: { id: 5 }, list: [{ name: "a", count: 0 }], extra: true });
        const places = findings.map(finding => finding.place);
        expect(places).to.have.members(["file.host.id", "file.host.zone", "file.list.0.count", "file.extra"]);
    });

    it("suggests the nearest valid key for an unknown one, also in lists", () => {
        const findings = findingsOf({
            host: { id: "a", zone: "b", zoen: "c" },
            list: [{ name: "a", count: 1, cuont: 2 }],
        });
        expect(findings.map(finding => finding.allowed)).to.have.members(["\"zone\"", "\"count\""]);
    });
});
