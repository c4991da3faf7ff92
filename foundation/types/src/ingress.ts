/**
 * What the operator has set for callers: routes, services, organisations and
 * the limits of their connections. One value is one version of it.
 */

/** What a route's requests allow after an attempt whose outcome is unknown. */
export type RouteKind = "idempotent" | "nonIdempotent" | "stream";

/** One service of a route; shares are in proportion to the weights. */
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time that a request is kept waiting for its final answer. */
  readonly timeoutMs: number;
  /** Time within which an answer, or a stream's first event, counts fully. */
  readonly objectiveMs: number;
  /** Longest pause between two events of a stream that is still on time. */
  readonly eventGapMs: number | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Most targets that one request may be sent to. */
  readonly maxTargets: number;
  /** True if callers need no key. */
  readonly isPublic: boolean;
  /** True if a stream may go on at another target after its last event. */
  readonly isResumable: boolean;
  readonly shares: readonly ServiceShare[];
}

/** How the engines of a service compute; undefined for plain services. */
export interface EngineProfile {
  readonly maxBatch: number;
  /** Duration of one token step before anything is added for its requests. */
  readonly stepMs: number;
  readonly stepPerRequestMs: number;
  readonly prefillTokensPerS: number;
  /** Token steps in one pass that has requests writing. */
  readonly stepsPerPass: number;
  readonly meanPromptTokens: number;
  readonly meanAnswerTokens: number;
  /** Undefined if the engines are no ranks of a group. */
  readonly experts: ExpertProfile | undefined;
}

/** How a group's ranks share experts. */
export interface ExpertProfile {
  readonly layerSets: number;
  readonly expertsPerSet: number;
  /** Most experts that a rank holds in one set. */
  readonly maxExpertsPerRank: number;
  /** Most experts that one change may bring to a rank in one set. */
  readonly maxNewPerChange: number;
  readonly expertMb: number;
  /** Part of the work for tokens that is the experts', from 0 to 1. */
  readonly workShare: number;
  /** Speed at which ranks copy experts. */
  readonly linkMbps: number;
}

export interface Service {
  readonly name: string;
  /** Most connections that one target accepts from all callers together. */
  readonly maxConnections: number;
  readonly engine: EngineProfile | undefined;
}

export interface KeyHolder {
  readonly organisation: string;
  /** Goes before the route's; undefined leaves the route's in force. */
  readonly priority: number | undefined;
}

export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface IngressConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  /** False if no route asks for keys. */
  readonly usesKeys: boolean;
  readonly keys: ReadonlyMap<string, KeyHolder>;
  readonly limits: CallerLimits;
}
