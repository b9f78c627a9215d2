/** Keeps the configuration documents in force on disk, on a host with a data folder. */

import { configPrefix, type SharedEntry } from "@tamarackpath/core";
import { mkdir, readdir, readFile, rename, writeFile } from "node:fs/promises";
import { join } from "node:path";

const suffix = ".json";

/** The folder with the kept documents. */
export class ConfigFolder {
    private readonly folder: string;
    private written: Promise<void> = Promise.resolve();

    constructor(dataFolder: string) {
        this.folder = join(dataFolder, "config");
    }

    async read(): Promise<readonly SharedEntry[]> {
        await mkdir(this.folder, { recursive: true });
        const files = (await readdir(this.folder)).filter(file => file.endsWith(suffix));
        return await Promise.all(files.map(async file => ({
            key: `${configPrefix}${file.slice(0, -suffix.length)}`,
            text: await readFile(join(this.folder, file), "utf8"),
        })));
    }

    /** Replaces the kept document atomically, after earlier writes, so that a crash leaves the old or the new one. */
    write(entry: SharedEntry): Promise<void> {
        this.written = this.written.catch(() => undefined).then(() => this.replace(entry));
        return this.written;
    }

    private async replace({ key, text }: SharedEntry): Promise<void> {
        const file = join(this.folder, `${key.slice(configPrefix.length)}${suffix}`);
        const temporaryFile = `${file}.${process.pid}.new`;
        await writeFile(temporaryFile, text, { flush: true });
        await rename(temporaryFile, file);
    }
}
