/** The callers' commands: submit, pull and ask. */

import { type StepRequest, type TrainerClient } from "@tamarackpath/client";
import { check, type Problem, stepBodySchema, type StepPullResponse } from "@tamarackpath/core";
import { type Either } from "purify-ts";
import { type Connection, readText } from "../Connection.js";
import { exitCodes } from "../exitCodes.js";
import { printFindings, printJson, printProblem } from "../output.js";
import { SampleFile } from "../SampleFile.js";

const retryMs = 300;

/** Submits the step that a JSON file describes. */
export async function submitStep(connection: Connection, step: string, file: string, isJson: boolean): Promise<void> {
    const read = readStep(file);
    const trainer = connection.trainer();
    read.ifLeft(printFindings);
    trainer.ifLeft(printFindings);
    if (read.isLeft() || trainer.isLeft()) {
        return;
    }
    const res = await trainer.unsafeCoerce().submit(step, read.unsafeCoerce());
    res.ifLeft(found => printProblem(found));
    res.ifRight(status => {
        if (isJson) {
            printJson(status);
            return;
        }
        console.log(`Step ${step} is taken by ${status.owner}: ${status.samples} samples.`);
    });
}

/** Options of the pull command. */
export interface PullOptions {
    readonly out: string;
    /** File with the step, to submit it again when a new owner needs it. */
    readonly spec?: string;
}

/** Pulls a step into a file until it is whole; a pull that was broken off goes on where it ended. */
export async function pullStep(connection: Connection, step: string, options: PullOptions): Promise<void> {
    const trainer = connection.trainer();
    const spec = options.spec === undefined ? undefined : readStep(options.spec);
    trainer.ifLeft(printFindings);
    spec?.ifLeft(printFindings);
    if (trainer.isLeft() || spec?.isLeft() === true) {
        return;
    }
    await pullInto(trainer.unsafeCoerce(), step, spec?.unsafeCoerce(), new SampleFile(options.out));
}

async function pullInto(
    trainer: TrainerClient,
    step: string,
    spec: StepRequest | undefined,
    file: SampleFile,
): Promise<void> {
    for (;;) {
        const res = await trainer.pull(step, file.cursor);
        const answer = res.toMaybe().extract();
        if (answer === undefined) {
            const found = res.swap().unsafeCoerce();
            if (!await mayGoOn(trainer, step, spec, found)) {
                printProblem(found);
                return;
            }
            continue;
        }
        if (answer.answers === file.cursor && answer.samples.length > 0) {
            file.append(answer.samples, answer.cursor);
        }
        showProgress(step, file, answer);
        if (answer.done) {
            console.error(`\nStep ${step} is whole: ${file.samples} samples.`);
            return;
        }
    }
}

async function mayGoOn(
    trainer: TrainerClient,
    step: string,
    spec: StepRequest | undefined,
    found: Problem,
): Promise<boolean> {
    if (spec === undefined || Date.now() > spec.deadline) {
        return found.retry.allowed && found.type !== "step-spec-needed" && spec !== undefined
            && Date.now() < spec.deadline;
    }
    if (found.type === "step-spec-needed") {
        await trainer.submit(step, spec);
    }
    await new Promise(resolve => setTimeout(resolve, retryMs));
    return found.retry.allowed;
}

function showProgress(step: string, file: SampleFile, answer: StepPullResponse): void {
    if (process.stderr.isTTY && answer.samples.length > 0) {
        process.stderr.write(`\rStep ${step}: ${file.samples} samples`);
    }
}

function readStep(file: string): Either<readonly { place: string; read: string; allowed: string; }[], StepRequest> {
    return readText(file).chain(text => check(stepBodySchema, parseJson(text), file));
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

/** Options of the ask command. */
export interface AskOptions {
    readonly method?: string;
    readonly body?: string;
    readonly key?: string;
}

/** Sends one call to the service's plain targets and prints the answer. */
export async function ask(connection: Connection, path: string, options: AskOptions): Promise<void> {
    const caller = connection.caller();
    caller.ifLeft(printFindings);
    if (caller.isLeft()) {
        return;
    }
    const method = (options.method ?? "GET").toUpperCase() as "GET" | "POST" | "PUT" | "DELETE";
    const body = options.body === undefined ? undefined : parseJson(options.body);
    if (options.body !== undefined && body === undefined) {
        printFindings([{ place: "--body", read: options.body.slice(0, 80), allowed: "a JSON document" }]);
        process.exitCode = exitCodes.invalidInput;
        return;
    }
    const res = await caller.unsafeCoerce().call(path, { method, body, idempotencyKey: options.key });
    res.ifLeft(found => printProblem(found));
    res.ifRight(printJson);
}
