/**
 * Sends a call of the coordinator to many ranks. In a large group, some agents
 * relay it to others. In a small group, and to agents that have failed, it is
 * sent directly.
 */

import type { Leadership } from "@dandelionbank/elect-coordinator";
import { planRelays } from "@dandelionbank/plan-relays";
import type {
  NewerTerm,
  OrderReply,
  OtherGroup,
  PollReply,
  RelayedCall,
  RelayedReply,
} from "@dandelionbank/rank-api";
import type { GroupOrder } from "@dandelionbank/types";
import {
  encodeChange,
  encodeOrder,
  type OrderOutcome,
  type OrderRoute,
  type RankLink,
  readOutcome,
} from "./rank_link.ts";

const NO_REPLY = "no reply through the relay";

export interface LinkReply {
  readonly link: RankLink;
  /** `undefined` if the agent did not answer. */
  readonly reply: PollReply | undefined;
}

export interface PollResults {
  readonly replies: readonly LinkReply[];
  /**
   * Choice counts, each summed over several ranks, in the form of
   * `encodeCounts`.
   */
  readonly choices: readonly string[];
}

export interface FanOutOrder {
  readonly order: GroupOrder;
  readonly epoch: number;
  readonly route: OrderRoute;
  /** Called once for each link, as soon as its outcome is known. */
  readonly onOutcome: (link: RankLink, outcome: OrderOutcome) => void;
}

export class FanOut {
  readonly #leadership: Leadership;

  private constructor(leadership: Leadership) {
    this.#leadership = leadership;
  }

  static create(leadership: Leadership): FanOut {
    return new FanOut(leadership);
  }

  async poll(
    links: readonly RankLink[],
    { withChoices }: { readonly withChoices: boolean },
  ): Promise<PollResults> {
    const { direct, relayed } = planRelays(links.map(toCandidate));
    const results = await Promise.all([
      ...direct.map((link) => this.#pollDirectly(link, withChoices)),
      ...relayed.map(({ relay, members }) =>
        this.#pollViaRelay(relay, { members, withChoices })
      ),
    ]);
    return {
      replies: results.flatMap(({ replies }) => replies),
      choices: results.flatMap(({ choices }) => choices),
    };
  }

  order(links: readonly RankLink[], sent: FanOutOrder): void {
    const { direct, relayed } = planRelays(links.map(toCandidate));
    for (const link of direct) void this.#orderDirectly(link, sent);
    for (const { relay, members } of relayed) {
      void this.#orderViaRelay(relay, { members, sent });
    }
  }

  async #pollDirectly(
    link: RankLink,
    withChoices: boolean,
  ): Promise<PollResults> {
    const leadership = this.#leadership;
    const reply = await link.poll({ leadership, withChoices });
    const choices = reply?.kind === "polled" ? reply.choices : undefined;
    return {
      replies: [{ link, reply }],
      choices: choices === undefined ? [] : [choices.counts],
    };
  }

  async #pollViaRelay(
    relay: RankLink,
    { members, withChoices }: {
      readonly members: readonly RankLink[];
      readonly withChoices: boolean;
    },
  ): Promise<PollResults> {
    const { replies, choices } = await this.#relay({
      relay,
      members,
      call: { kind: "poll", withChoices },
    });
    return {
      replies: members.map((link, index) => {
        const reply = replies[index];
        if (!isPollReply(reply)) return { link, reply: undefined };
        link.recordGroup(reply.kind);
        return { link, reply };
      }),
      choices: choices === undefined ? [] : [choices],
    };
  }

  async #orderDirectly(
    link: RankLink,
    { order, epoch, route, onOutcome }: FanOutOrder,
  ): Promise<void> {
    const sent = { ...this.#leadership, order, epoch };
    onOutcome(link, await link.sendOrder(sent, route));
  }

  async #orderViaRelay(
    relay: RankLink,
    { members, sent }: {
      readonly members: readonly RankLink[];
      readonly sent: FanOutOrder;
    },
  ): Promise<void> {
    const { order, onOutcome } = sent;
    const call = encodeCall(members, sent);
    const { replies } = await this.#relay({ relay, members, call });
    members.forEach((link, index) => {
      const reply = replies[index];
      if (reply?.kind === "baseUnknown") {
        link.clearBaseMap();
        return void this.#orderDirectly(link, sent);
      }
      // The next call to an agent that did not answer is not relayed.
      if (!isOrderReply(reply)) return onOutcome(link, "lost");
      link.recordOrderReply(order, reply);
      onOutcome(link, readOutcome(reply));
    });
  }

  async #relay(
    { relay, members, call }: {
      readonly relay: RankLink;
      readonly members: readonly RankLink[];
      readonly call: RelayedCall;
    },
  ): Promise<RelayedReplies> {
    const result = await relay.relay({
      leadership: this.#leadership,
      addresses: members.map(({ agentAddress }) => agentAddress),
      call,
    });
    // If the relay does not answer, the outcome of its members is unknown.
    if (result === undefined) return { replies: [], choices: undefined };
    if (result.kind === "otherGroup") {
      relay.recordGroup(result.kind);
      return { replies: [], choices: undefined };
    }
    if (result.kind === "newer") {
      return { replies: members.map(() => result), choices: undefined };
    }
    members.forEach((link, index) => {
      const reply = result.replies[index];
      if (reply === null || reply === undefined) link.recordFailure(NO_REPLY);
    });
    return {
      replies: result.replies.map((reply) => reply ?? undefined),
      choices: result.choices,
    };
  }
}

interface RelayedReplies {
  /** Replies in the order of the members. */
  readonly replies: readonly (RelayedReply | undefined)[];
  readonly choices: string | undefined;
}

/** A map is sent as a change if all members have the same base map. */
function encodeCall(
  members: readonly RankLink[],
  { order, epoch }: FanOutOrder,
): RelayedCall {
  const [base] = members.map((link) => link.baseMap);
  const isShared = base !== undefined &&
    members.every((link) => link.baseMap?.version === base.version);
  return order.kind === "prepare" && isShared
    ? { kind: "prepareChange", ...encodeChange({ order, epoch, base }) }
    : { kind: "order", epoch, order: encodeOrder(order) };
}

function isPollReply(reply: RelayedReply | undefined): reply is PollReply {
  return reply?.kind === "polled" || isRejection(reply);
}

function isOrderReply(reply: RelayedReply | undefined): reply is OrderReply {
  return reply?.kind === "ordered" || isRejection(reply);
}

function isRejection(
  reply: RelayedReply | undefined,
): reply is NewerTerm | OtherGroup {
  return reply?.kind === "newer" || reply?.kind === "otherGroup";
}

function toCandidate(link: RankLink) {
  const { dataCentre, isResponsive } = link;
  return { link, dataCentre, isResponsive };
}
