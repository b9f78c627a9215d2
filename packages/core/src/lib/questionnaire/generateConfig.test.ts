/** Tests of the generated configuration. */

import { expect } from "chai";
import { diffConfigs } from "../config/ConfigDifference.js";
import { generateConfig } from "./generateConfig.js";
import { type QuestionnaireInput } from "./Questionnaire.js";

const token = "0".repeat(64);

function answersFixture(changes: Partial<QuestionnaireInput> = {}): QuestionnaireInput {
    return {
        name: "yard",
        trade: "Kerb stone.",
        matters_most: "both",
        places: [{ name: "leon" }],
        workers: [
            { name: "model", does: "writes-with-a-model", count: 2, requests_at_once: 8 },
            { name: "desk-hosts", does: "answers-calls", count: 1, requests_at_once: 16 },
        ],
        trainings: [{
            name: "training",
            model_workers: "model",
            step_whole_within: "40 min",
            late_step_costs: 60,
            versions_behind: 2,
            trainers: [{ name: "trainer", token_sha256: token }],
        }],
        desks: [{
            name: "desk",
            answered_by: "desk-hosts",
            answer_within: "1.5 s",
            late_answer_costs: 25,
            must_not_repeat: ["POST /orders"],
            callers: [{ name: "contractors", token_sha256: token }],
        }],
        ...changes,
    };
}

function placesOf(input: unknown): readonly string[] {
    return generateConfig(input, 1, "op").swap().orDefault([]).map(finding => finding.place);
}

describe("generateConfig", () => {
    it("generates services from deadlines, costs and bounds", () => {
        const doc = generateConfig(answersFixture(), 3, "op").unsafeCoerce();
        const [training, desk] = doc.services;
        expect(training).to.include({
            answerWithinMs: 2_400_000,
            lateCost: 60,
            stalenessBound: 2,
            enginePool: "model",
        });
        expect(desk).to.include({ answerWithinMs: 1500, lateCost: 25, plainPool: "desk-hosts" });
        expect(desk?.neverRepeat).to.deep.equal(["POST /orders"]);
    });

    it("records the answer that each generated value comes from", () => {
        const doc = generateConfig(answersFixture(), 1, "op").unsafeCoerce();
        const changed = answersFixture({ matters_most: "training" });
        changed.desks![0]!.answer_within = "9 s";
        changed.workers[0]!.requests_at_once = 3;
        const other = generateConfig(changed, 1, "op").unsafeCoerce();
        const differences = diffConfigs(
            { pools: doc.pools, services: doc.services },
            { pools: other.pools, services: other.services },
        );
        expect(differences.map(found => found.path)).to.include.members([
            "services.desk.answerWithinMs",
            "pools.model.slotsPerTarget",
        ]);
        for (const { path } of differences) {
            expect(Object.keys(doc.why), path).to.include(path);
        }
    });

    it("reports references to workers of another kind and duplicate names", () => {
        const input = answersFixture();
        input.desks![0]!.answered_by = "model";
        input.trainings![0]!.scored_by = "nobody";
        input.desks![0]!.name = "training";
        expect(placesOf(input)).to.have.members([
            "questionnaire.trainings.0.scored_by",
            "questionnaire.desks.0.answered_by",
            "questionnaire.desks",
        ]);
    });

    it("rejects durations without a unit", () => {
        const input = answersFixture();
        input.desks![0]!.answer_within = "1500";
        expect(placesOf(input)).to.deep.equal(["questionnaire.desks.0.answer_within"]);
    });
});
