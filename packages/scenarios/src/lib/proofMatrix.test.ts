/** Tests of the page of proofs. */

import { expect } from "chai";
import { readFileSync } from "node:fs";
import { featureFolder } from "./defineFeature.js";
import { loadFolder } from "./loadScenarios.js";
import { faultsWithProof, proofMatrixText } from "./proofMatrix.js";
import { promiseTags, unknownTags } from "./tags.js";

const page = new URL("../../../../docs/PROOFS.md", import.meta.url);
const minFaults = 3;

describe("the page of proofs", () => {
    const scenarios = loadFolder(featureFolder);

    it("is the one in docs", () => {
        expect(readFileSync(page, "utf8")).to.equal(proofMatrixText(scenarios));
    });

    it("proves every promise under at least three different failures", () => {
        for (const promise of promiseTags) {
            expect(faultsWithProof(scenarios, promise).length, promise).to.be.at.least(minFaults);
        }
    });

    it("uses only known tags, and names each scenario once", () => {
        expect(scenarios.flatMap(scenario => unknownTags(scenario.tags))).to.deep.equal([]);
        const names = scenarios.map(scenario => scenario.name);
        expect(new Set(names).size).to.equal(names.length);
    });
});
