/** Connection settings of `tamarack`: the operator addresses of entry hosts and, for callers' commands, a service. */

import { operatorToken, readToml } from "@tamarackpath/adapters";
import { CallerClient, OperatorClient, TrainerClient } from "@tamarackpath/client";
import { type Finding } from "@tamarackpath/core";
import { readFileSync } from "node:fs";
import { dirname, resolve } from "node:path";
import { type Either, Left, Right } from "purify-ts";
import * as z from "zod";

const addressesSchema = z.array(z.url({ protocol: /^https?$/, error: "an http or https address" })).min(1);

const connectionSchema = z.strictObject({
    operators: z.strictObject({ hosts: addressesSchema, secret_file: z.string().min(1) }).optional(),
    caller: z.strictObject({ hosts: addressesSchema, service: z.string().min(1), token_file: z.string().min(1) })
        .optional(),
});

type ConnectionSettings = z.output<typeof connectionSchema>;

/** Environment variable that names the connection file. */
const settingsVariable = "TAMARACK_SETTINGS";
const defaultFile = "tamarack.toml";

/** A host's operator address and the client for it. */
export interface OperatorHost {
    readonly url: string;
    readonly client: OperatorClient;
}

/** The validated connection settings, and the clients created from them. */
export class Connection {
    private constructor(private readonly file: string, private readonly settings: ConnectionSettings) {}

    /** Reads the connection file: `file`, or else the one that the environment names, or else the default. */
    static open(file: string | undefined): Either<readonly Finding[], Connection> {
        const path = file ?? process.env[settingsVariable] ?? defaultFile;
        return readText(path)
            .chain(text => readToml(connectionSchema, path, text))
            .map(settings => new Connection(path, settings));
    }

    /** Creates a client for the operators' API of every configured host. */
    operators(): Either<readonly Finding[], readonly OperatorHost[]> {
        const section = this.settings.operators;
        if (section === undefined) {
            return Left([this.missingTable("operators")]);
        }
        return this.readSecret(section.secret_file).map(secret =>
            section.hosts.map(url => ({ url, client: new OperatorClient(url, operatorToken(secret)) }))
        );
    }

    /** Creates a trainer's client for the configured service. */
    trainer(): Either<readonly Finding[], TrainerClient> {
        return this.callerOptions().map(options => new TrainerClient(options));
    }

    /** Creates a caller's client for the configured service. */
    caller(): Either<readonly Finding[], CallerClient> {
        return this.callerOptions().map(options => new CallerClient(options));
    }

    private callerOptions(): Either<
        readonly Finding[],
        { readonly urls: readonly string[]; readonly service: string; readonly token: string; }
    > {
        const section = this.settings.caller;
        if (section === undefined) {
            return Left([this.missingTable("caller")]);
        }
        return this.readSecret(section.token_file)
            .map(token => ({ urls: section.hosts, service: section.service, token }));
    }

    private readSecret(file: string): Either<readonly Finding[], string> {
        return readText(resolve(dirname(this.file), file)).map(text => text.trim());
    }

    private missingTable(table: string): Finding {
        return { place: `${this.file} ${table}`, read: "nothing", allowed: `a table [${table}]` };
    }
}

/** Reads a file as text. */
export function readText(file: string): Either<readonly Finding[], string> {
    try {
        return Right(readFileSync(file, "utf8"));
    }
    catch (err) {
        return Left([{ place: file, read: "nothing", allowed: `a readable file: ${(err as Error).message}` }]);
    }
}
