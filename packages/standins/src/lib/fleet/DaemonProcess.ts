/** Runs one daemon as a separate process and sends it the signals that cause failures. */

import { type ChildProcess, spawn } from "node:child_process";
import { createHmac } from "node:crypto";
import { createWriteStream, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { registerDaemon, unregisterDaemon } from "./daemonRegistry.js";

/** Settings of a daemon process. */
export interface DaemonProcessOptions {
    readonly host: string;
    readonly zone: string;
    /** Folder of the settings file and the log file. */
    readonly folder: string;
    readonly secret: string;
    readonly secretFile: string;
    /** Port of the callers' interface. */
    readonly callers: number;
    /** Port of the operators' interface. */
    readonly operators: number;
    /** Port of the peers' interface. */
    readonly peers: number;
    readonly keyValueUrl: string;
    readonly hostListUrl: string;
    /** Data folder; undefined for a host without a disk. */
    readonly dataFolder?: string;
    /** Additional lines of the settings file. */
    readonly extraSettings?: string;
}

const daemonFile = fileURLToPath(new URL("../../../../../apps/daemon/dist/main.js", import.meta.url));
const pollMs = 50;

/** A daemon in a separate process. */
export class DaemonProcess {
    private child: ChildProcess | undefined;
    private exitCode: Promise<number | undefined> = Promise.resolve(undefined);

    constructor(private readonly options: DaemonProcessOptions) {}

    get host(): string {
        return this.options.host;
    }

    get zone(): string {
        return this.options.zone;
    }

    get pid(): number | undefined {
        return this.child?.pid;
    }

    get callerUrl(): string {
        return `http://127.0.0.1:${this.options.callers}`;
    }

    get operatorUrl(): string {
        return `http://127.0.0.1:${this.options.operators}`;
    }

    get operatorToken(): string {
        return createHmac("sha256", this.options.secret).update("operator").digest("hex");
    }

    get logFile(): string {
        return join(this.options.folder, `${this.host}.log`);
    }

    /** Starts the process; its output goes to the log file. */
    spawn(): void {
        const file = join(this.options.folder, `${this.host}.toml`);
        writeFileSync(file, this.settingsText());
        const child = spawn(process.execPath, [daemonFile, "run", "--config", file], {
            stdio: ["ignore", "pipe", "pipe"],
        });
        const log = createWriteStream(this.logFile, { flags: "a" });
        child.stdout?.pipe(log, { end: false });
        child.stderr?.pipe(log, { end: false });
        this.child = child;
        registerDaemon(child.pid!);
        this.exitCode = new Promise(resolve => {
            child.once("exit", code => {
                unregisterDaemon(child.pid!);
                log.end();
                resolve(code ?? undefined);
            });
        });
    }

    /** Waits until the daemon is ready; throws when it is not within the timeout. */
    async waitUntilReady(readyTimeoutMs: number): Promise<void> {
        const end = Date.now() + readyTimeoutMs;
        while (Date.now() < end) {
            if (await this.isReady()) {
                return;
            }
            await new Promise(resolve => setTimeout(resolve, pollMs));
        }
        throw new Error(`Host ${this.host} is not ready; see ${this.logFile}.`);
    }

    /** True when the daemon's readiness check succeeds. */
    async isReady(): Promise<boolean> {
        try {
            const res = await fetch(`${this.callerUrl}/readyz`);
            await res.arrayBuffer();
            return res.ok;
        }
        catch {
            return false;
        }
    }

    /** Returns the daemon's dump of its state, as operators receive it. */
    async dump<Dump = Record<string, unknown>>(): Promise<Dump> {
        const res = await fetch(`${this.operatorUrl}/v1/dump`, {
            headers: { authorization: `Bearer ${this.operatorToken}` },
        });
        return await res.json() as Dump;
    }

    /** Kills the process (SIGKILL), also when it is frozen, and waits for its exit. */
    async kill(): Promise<void> {
        this.child?.kill("SIGCONT");
        this.child?.kill("SIGKILL");
        await this.exitCode;
    }

    /** Requests a graceful shutdown (SIGTERM) and returns the exit code. */
    async terminate(): Promise<number | undefined> {
        this.signal("SIGTERM");
        return await this.exitCode;
    }

    /** Requests a shutdown as a person at a terminal does (SIGINT) and returns the exit code. */
    async interrupt(): Promise<number | undefined> {
        this.signal("SIGINT");
        return await this.exitCode;
    }

    /** Sends a signal to the process without waiting for its effect. */
    signal(name: "SIGTERM" | "SIGINT" | "SIGHUP"): void {
        this.child?.kill(name);
    }

    /** Shuts the process down gracefully, starts it again and waits until it is ready. Returns the exit code. */
    async restart(readyTimeoutMs: number): Promise<number | undefined> {
        const code = await this.terminate();
        this.spawn();
        await this.waitUntilReady(readyTimeoutMs);
        return code;
    }

    /** Resolves with the exit code when the process has exited; undefined after a signal. */
    get ended(): Promise<number | undefined> {
        return this.exitCode;
    }

    /** Stops the process without ending it (SIGSTOP). */
    freeze(): void {
        this.child?.kill("SIGSTOP");
    }

    /** Continues a frozen process (SIGCONT). */
    thaw(): void {
        this.child?.kill("SIGCONT");
    }

    private settingsText(): string {
        const { host, zone, callers, operators, peers, keyValueUrl, hostListUrl, secretFile, dataFolder } =
            this.options;
        return [
            "[host]",
            `id = "${host}"`,
            `zone = "${zone}"`,
            ...dataFolder === undefined ? [] : [`data_folder = "${dataFolder}"`],
            "[listen]",
            `callers = "127.0.0.1:${callers}"`,
            `operators = "127.0.0.1:${operators}"`,
            `peers = "127.0.0.1:${peers}"`,
            "[platform]",
            `key_value = "${keyValueUrl}"`,
            `host_list = "${hostListUrl}"`,
            "[security]",
            `secret_file = "${secretFile}"`,
            this.options.extraSettings ?? "",
            "",
        ].join("\n");
    }
}
