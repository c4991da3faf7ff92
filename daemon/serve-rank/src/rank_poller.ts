/**
 * Polls all ranks of a group through their agents, or directly if an agent
 * does not answer.
 */

import { type PollReply, sumEncodedCounts } from "@dandelionbank/rank-api";
import type { OrderForwardingState, RankReport } from "@dandelionbank/types";
import type { FanOut } from "./fan_out.ts";
import type { RankLink } from "./rank_link.ts";

/** How often engines are read directly when their agents do not answer. */
const DIRECT_READ_INTERVAL_MS = 1_000;

export interface RankPollerOptions {
  readonly group: string;
  readonly fanOut: FanOut;
  /** Links to all targets of the service, in whatever group. */
  readonly listLinks: () => readonly RankLink[];
}

/** The results of one round of polls. */
export interface PollRound {
  /** Reports of the group's ranks whose agents answered. */
  readonly reports: readonly RankReport[];
  /** What each agent that answered knows of orders, by rank. */
  readonly agentOrders: ReadonlyMap<number, OrderForwardingState>;
  /**
   * Choices summed over all ranks; undefined if there were none or none were
   * requested.
   */
  readonly choices: readonly number[] | undefined;
  /** The term of a newer coordinator that some agent follows. */
  readonly newerTerm: number | undefined;
  /** Links whose agents did not answer. */
  readonly unresponsive: readonly RankLink[];
}

export class RankPoller {
  readonly #options: RankPollerOptions;
  /** Links of the group's ranks that have reported, by rank. */
  readonly #links = new Map<number, RankLink>();
  #directReadAtMs = Number.NEGATIVE_INFINITY;

  private constructor(options: RankPollerOptions) {
    this.#options = options;
  }

  static create(options: RankPollerOptions): RankPoller {
    return new RankPoller(options);
  }

  /** Returns the link of a rank that has reported before. */
  findLink(rank: number): RankLink | undefined {
    return this.#links.get(rank);
  }

  async poll(
    { withChoices }: { readonly withChoices: boolean },
  ): Promise<PollRound> {
    const { fanOut, listLinks } = this.#options;
    const links = listLinks().filter(({ isPollDue }) => isPollDue);
    const { replies, choices } = await fanOut.poll(links, { withChoices });
    const answered = replies.flatMap(({ link, reply }) => {
      const report = reply?.kind === "polled" ? reply.report : undefined;
      if (reply?.kind !== "polled" || !this.#recordReport(report, link)) {
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
      unresponsive: replies.flatMap(({ link, reply }) =>
        reply === undefined ? [link] : []
      ),
    };
  }

  /** True if the periodic direct read of unresponsive ranks is due. */
  get isDirectReadDue(): boolean {
    return performance.now() - this.#directReadAtMs >= DIRECT_READ_INTERVAL_MS;
  }

  /** Reads reports directly from engines. Such calls are expensive. */
  async readDirectly(
    links: readonly RankLink[],
  ): Promise<readonly RankReport[]> {
    this.#directReadAtMs = performance.now();
    const reports = await Promise.all(links.map(async (link) => {
      const report = await link.readReport();
      return this.#recordReport(report, link) ? [report] : [];
    }));
    return reports.flat();
  }

  /** Records the link of a report; returns false if it is not of this group. */
  #recordReport(
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
  const sum = sumEncodedCounts(encoded);
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
