/** Polls all ranks of a group by their agents, and the silent ones past them. */

import { addCounts, type PollReply } from "@dandelionbank/rank-api";
import type { OrderForwardingState, RankReport } from "@dandelionbank/types";
import type { FanOut } from "./fan_out.ts";
import type { RankLink } from "./rank_link.ts";

/** How often a rank is read past an agent that does not answer. */
const READ_PAST_INTERVAL_MS = 1_000;

export interface RankPollerOptions {
  readonly group: string;
  readonly fanOut: FanOut;
  /** Ways to every target of the service, whatever group it is in. */
  readonly listLinks: () => readonly RankLink[];
}

/** What one round of polls has brought. */
export interface PollRound {
  /** Of the group's ranks whose agents answered. */
  readonly reports: readonly RankReport[];
  readonly agentOrders: ReadonlyMap<number, OrderForwardingState>;
  /** Choices of all ranks together; undefined if none were asked for or made. */
  readonly choices: readonly number[] | undefined;
  /** A newer coordinator that some agent follows. */
  readonly newerTerm: number | undefined;
  readonly silent: readonly RankLink[];
}

export class RankPoller {
  readonly #options: RankPollerOptions;
  readonly #links = new Map<number, RankLink>();
  #readPastAtMs = Number.NEGATIVE_INFINITY;

  private constructor(options: RankPollerOptions) {
    this.#options = options;
  }

  static create(options: RankPollerOptions): RankPoller {
    return new RankPoller(options);
  }

  /** The way to a rank that has been heard of. */
  findLink(rank: number): RankLink | undefined {
    return this.#links.get(rank);
  }

  async poll(
    { withChoices }: { readonly withChoices: boolean },
  ): Promise<PollRound> {
    const { fanOut, listLinks } = this.#options;
    const { replies, choices } = await fanOut.poll(listLinks(), {
      withChoices,
    });
    const answered = replies.flatMap(({ link, reply }) => {
      const report = reply?.kind === "polled" ? reply.report : undefined;
      if (reply?.kind !== "polled" || !this.#noteReport(report, link)) {
        return [];
      }
      return [{ ...reply, report }];
    });
    return {
      reports: answered.map(({ report }) => report),
      agentOrders: new Map(
        answered.map(({ report, orders }) => [report.rank, orders]),
      ),
      choices: sumChoices(choices),
      newerTerm: findNewerTerm(replies.map(({ reply }) => reply)),
      silent: replies.flatMap(({ link, reply }) =>
        reply === undefined ? [link] : []
      ),
    };
  }

  /** True if silent ranks are due to be read without any other need. */
  get isReadPastDue(): boolean {
    return performance.now() - this.#readPastAtMs >= READ_PAST_INTERVAL_MS;
  }

  /** Reports of ranks past their silent agents. Such calls are dear. */
  async readPast(silent: readonly RankLink[]): Promise<readonly RankReport[]> {
    this.#readPastAtMs = performance.now();
    const reports = await Promise.all(silent.map(async (link) => {
      const report = await link.readReport();
      return this.#noteReport(report, link) ? [report] : [];
    }));
    return reports.flat();
  }

  /** True for a report of this group. */
  #noteReport(
    report: RankReport | undefined,
    link: RankLink,
  ): report is RankReport {
    if (report?.group !== this.#options.group) return false;
    this.#links.set(report.rank, link);
    return true;
  }
}

function sumChoices(
  encoded: readonly string[],
): readonly number[] | undefined {
  const sum = addCounts(encoded);
  return sum?.some((count) => count > 0) ? sum : undefined;
}

function findNewerTerm(
  replies: readonly (PollReply | undefined)[],
): number | undefined {
  const terms = replies.flatMap((reply) =>
    reply?.kind === "newer" ? [reply.term] : []
  );
  return terms.length === 0 ? undefined : Math.max(...terms);
}
