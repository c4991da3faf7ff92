/** Stand-in for the weight store: limits the number of readers and their total rate. */

import {
  type Call,
  COMMON_SETTINGS,
  type CommonSettings,
  refuseRateLimited,
  type Reply,
  type RunningStandin,
  StandinServer,
} from "@dandelionbank/standin-common";

/** Interval between writes to the readers. */
const TICK_MS = 10;

export interface WeightsSettings extends CommonSettings {
  /** Total rate, divided equally among the readers. */
  readonly bytesPerSecond: number;
  readonly maxReaders: number;
  /** Size of every weight file. */
  readonly sizeBytes: number;
  /** Closes the connection after this number of bytes; -1 disables the fault. */
  readonly cutAfterBytes: number;
}

export const WEIGHTS_SETTINGS: WeightsSettings = {
  ...COMMON_SETTINGS,
  bytesPerSecond: 100_000_000,
  maxReaders: 4,
  sizeBytes: 1_000_000,
  cutAfterBytes: -1,
};

export interface WeightsOptions {
  readonly listen?: string;
  readonly settings?: Partial<WeightsSettings>;
}

interface Reader {
  readonly reply: Reply;
  readonly fillByte: number;
  remainingBytes: number;
}

/** Returns the byte that every position of the named file contains. */
export function expectedByte(name: string): number {
  return [...name].reduce((sum, letter) => sum + letter.charCodeAt(0), 0) % 256;
}

/** Starts the stand-in in the current process. */
export async function startWeights(
  options: WeightsOptions = {},
): Promise<StandinWeights> {
  const weights = new StandinWeights();
  await weights.start(options);
  return weights;
}

export class StandinWeights implements RunningStandin {
  readonly #readers = new Set<Reader>();
  #server!: StandinServer<WeightsSettings>;
  #timer: NodeJS.Timeout | undefined;

  async start(options: WeightsOptions): Promise<void> {
    this.#server = await StandinServer.start({
      ...(options.listen === undefined ? {} : { listen: options.listen }),
      settings: { ...WEIGHTS_SETTINGS, ...options.settings },
      handle: (call, reply) => this.#handle(call, reply),
    });
    this.#timer = setInterval(() => this.#writeToReaders(), TICK_MS);
  }

  get listening(): string {
    return this.#server.url;
  }

  changeSettings(settings: Partial<WeightsSettings>): void {
    this.#server.changeSettings(settings);
  }

  async close(): Promise<void> {
    clearInterval(this.#timer);
    await this.#server.close();
  }

  #handle(call: Call, reply: Reply): void {
    const name = call.path.match(/^\/v1\/weights\/([^/]+)$/)?.[1];
    if (name === undefined || call.method !== "GET") {
      return reply.sendJson(404, { message: "No such weights" });
    }
    const { maxReaders, sizeBytes } = this.#server.settings;
    if (this.#readers.size >= maxReaders) return refuseRateLimited(reply);
    const reader = {
      reply,
      fillByte: expectedByte(name),
      remainingBytes: sizeBytes,
    };
    this.#readers.add(reader);
    reply.onClose(() => this.#readers.delete(reader));
    reply.sendHead("application/octet-stream", sizeBytes);
  }

  #writeToReaders(): void {
    const { bytesPerSecond } = this.#server.settings;
    const bytesPerReader = Math.floor(
      bytesPerSecond * TICK_MS / 1000 / this.#readers.size,
    );
    for (const reader of this.#readers) {
      this.#writeToReader(reader, bytesPerReader);
    }
  }

  #writeToReader(reader: Reader, budgetBytes: number): void {
    const { sizeBytes, cutAfterBytes } = this.#server.settings;
    const bytes = Math.min(budgetBytes, reader.remainingBytes);
    reader.remainingBytes -= bytes;
    reader.reply.write(Buffer.alloc(bytes, reader.fillByte));
    const sentBytes = sizeBytes - reader.remainingBytes;
    const isCut = cutAfterBytes >= 0 && sentBytes >= cutAfterBytes;
    if (isCut) reader.reply.cut();
    else if (reader.remainingBytes === 0) reader.reply.end();
    if (isCut || reader.remainingBytes === 0) this.#readers.delete(reader);
  }
}
