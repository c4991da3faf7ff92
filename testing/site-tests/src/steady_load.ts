/** Load by callers at every entry, each of which sends one streamed completion after another. */

import {
  callEntry,
  type CallerReply,
  type Site,
} from "@dandelionbank/run-site";
import { type CompletionRequest, createCompletionCall } from "./callers.ts";

export interface LoadOptions {
  readonly callersPerEntry: number;
  readonly maxTokens: number;
}

export interface LoadRecord {
  readonly request: CompletionRequest;
  readonly startedAtMs: number;
  /** The target that runs the request; set when the head of the answer arrives. */
  target: string | undefined;
  reply: CallerReply | undefined;
}

export class SteadyLoad {
  readonly records: LoadRecord[] = [];
  readonly #site: Site;
  readonly #options: LoadOptions;
  readonly #callers: readonly Promise<void>[];
  #isStopped = false;

  private constructor(site: Site, options: LoadOptions) {
    this.#site = site;
    this.#options = options;
    this.#callers = [...site.entryUrls.values()].flatMap((url) =>
      Array.from(
        { length: options.callersPerEntry },
        () => this.#callRepeatedly(url),
      )
    );
  }

  static start(site: Site, options: LoadOptions): SteadyLoad {
    return new SteadyLoad(site, options);
  }

  /** Lists the calls whose answer from this target has started and not ended. */
  listRunningOn(target: string): readonly LoadRecord[] {
    return this.records.filter((record) =>
      record.target === target && record.reply === undefined
    );
  }

  listStartedAfter(timeMs: number): readonly LoadRecord[] {
    return this.records.filter(({ startedAtMs }) => startedAtMs > timeMs);
  }

  /** Stops sending calls and waits until the running ones end. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#callers);
  }

  async #callRepeatedly(url: string): Promise<void> {
    while (!this.#isStopped) {
      const { maxTokens } = this.#options;
      const prompt = `${this.records.length} is the letter's number`;
      const request = { prompt, maxTokens, stream: true };
      const record: LoadRecord = {
        request,
        startedAtMs: performance.now(),
        target: undefined,
        reply: undefined,
      };
      this.records.push(record);
      record.reply = await callEntry(url, {
        ...createCompletionCall(this.#site.callerKey, request),
        onHead: (headers) => {
          record.target = String(headers["dandelionbank-target"]);
        },
      });
    }
  }
}
