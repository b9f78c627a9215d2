/** The lookup table from the text of a step to its handler. `{int}`, `{word}` and `{string}` stand for arguments. */

import { type ScenarioStep } from "./loadScenarios.js";

/** Runs one step; `args` holds the arguments in the order of the placeholders. */
export type StepHandler<Fixture> = (
    fixture: Fixture,
    args: readonly string[],
    step: ScenarioStep,
) => Promise<void> | void;

/** Handlers by the pattern of their step. */
export type StepTable<Fixture> = Readonly<Record<string, StepHandler<Fixture>>>;

const placeholders: Readonly<Record<string, string>> = {
    "{int}": "(\\d+)",
    "{word}": "([^\\s]+)",
    "{string}": "\"([^\"]*)\"",
};

interface CompiledStep<Fixture> {
    readonly pattern: RegExp;
    readonly handler: StepHandler<Fixture>;
}

/** Finds and runs the handler of a step. */
export class StepMatcher<Fixture> {
    private readonly steps: readonly CompiledStep<Fixture>[];

    constructor(tables: readonly StepTable<Fixture>[]) {
        this.steps = tables.flatMap(table =>
            Object.entries(table).map(([text, handler]) => ({ pattern: compilePattern(text), handler }))
        );
    }

    /** Runs the handler of `step`; throws unless exactly one handler matches. */
    async run(fixture: Fixture, step: ScenarioStep): Promise<void> {
        const matching = this.steps.filter(({ pattern }) => pattern.test(step.text));
        if (matching.length !== 1) {
            throw new Error(`${matching.length} handlers match the step "${step.text}".`);
        }
        const { pattern, handler } = matching[0]!;
        await handler(fixture, pattern.exec(step.text)!.slice(1), step);
    }
}

function compilePattern(text: string): RegExp {
    const escaped = text.replace(/[.*+?^$()|[\]\\]/g, "\\$&");
    return new RegExp(`^${escaped.replace(/\{int\}|\{word\}|\{string\}/g, name => placeholders[name]!)}$`);
}
