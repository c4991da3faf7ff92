/** Callers who send one streamed completion after the other, at every entry. */

import {
  callEntry,
  type CallerReply,
  type Site,
} from "@dandelionbank/run-site";
import { completionCall, type CompletionWish } from "./callers.ts";

export interface LoadOptions {
  readonly callersPerEntry: number;
  readonly maxTokens: number;
}

export interface LoadRecord {
  readonly wish: CompletionWish;
  readonly startedAtMs: number;
  /** Known when the head of the answer has come. */
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
        () => this.#callOnAndOn(url),
      )
    );
  }

  static start(site: Site, options: LoadOptions): SteadyLoad {
    return new SteadyLoad(site, options);
  }

  /** Answers that have begun and not ended, at this target. */
  listRunningOn(target: string): readonly LoadRecord[] {
    return this.records.filter((record) =>
      record.target === target && record.reply === undefined
    );
  }

  listStartedAfter(timeMs: number): readonly LoadRecord[] {
    return this.records.filter(({ startedAtMs }) => startedAtMs > timeMs);
  }

  /** Lets what runs end. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#callers);
  }

  async #callOnAndOn(url: string): Promise<void> {
    while (!this.#isStopped) {
      const { maxTokens } = this.#options;
      const prompt = `${this.records.length} is the letter's number`;
      const wish = { prompt, maxTokens, stream: true };
      const record: LoadRecord = {
        wish,
        startedAtMs: performance.now(),
        target: undefined,
        reply: undefined,
      };
      this.records.push(record);
      record.reply = await callEntry(url, {
        ...completionCall(this.#site.callerKey, wish),
        onHead: (headers) => {
          record.target = String(headers["dandelionbank-target"]);
        },
      });
    }
  }
}
