/**
 * Configuration of the entries on the users' platform: routes, services, API
 * keys and the limits of callers' connections. One value holds one version.
 */

/**
 * Kind of a route's requests. It decides whether a request may be sent again
 * after an attempt whose outcome is unknown.
 */
export type RouteKind = "idempotent" | "nonIdempotent" | "stream";

/** The requests that a route concerns. */
export interface RouteScope {
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
}

/** One service of a route, which gets a share in proportion to its weight. */
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

export interface Route extends RouteScope {
  readonly name: string;
  readonly kind: RouteKind;
  /** Longest time that a caller waits for the final answer. */
  readonly timeoutMs: number;
  /**
   * Latency objective for the answer or, on a stream, for the first event. A
   * later one no longer counts in full.
   */
  readonly objectiveMs: number;
  /** Longest pause between two events of a stream that meets the objective. */
  readonly eventGapMs: number | undefined;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Largest number of targets that one request may be sent to. */
  readonly maxTargets: number;
  /** Whether callers need no API key. */
  readonly isPublic: boolean;
  /** Whether another target may continue a stream after the last event received. */
  readonly isResumable: boolean;
  readonly shares: readonly ServiceShare[];
}

/** Performance model of a service's engines. */
export interface EngineProfile {
  readonly maxBatch: number;
  /** Duration of one token step without the time that each request adds. */
  readonly stepMs: number;
  readonly stepPerRequestMs: number;
  readonly prefillTokensPerS: number;
  /** Token steps in one pass while requests are generating output. */
  readonly stepsPerPass: number;
  readonly meanPromptTokens: number;
  readonly meanAnswerTokens: number;
  /** Undefined unless the engines are ranks of a group. */
  readonly experts: ExpertProfile | undefined;
}

/** How experts are distributed over the ranks of a group. */
export interface ExpertProfile {
  readonly layerSets: number;
  readonly expertsPerSet: number;
  /** Largest number of experts of one layer set that a rank can hold. */
  readonly maxExpertsPerRank: number;
  /** Largest number of experts of one layer set that one change may add to a rank. */
  readonly maxNewPerChange: number;
  readonly expertMb: number;
  /** Fraction of the work per token that the experts do, from 0 to 1. */
  readonly workShare: number;
  /** Bandwidth at which ranks copy experts. */
  readonly linkMbps: number;
}

export interface Service {
  readonly name: string;
  /** Largest number of connections that one target accepts from all entries together. */
  readonly maxConnections: number;
  readonly engine: EngineProfile | undefined;
}

/** The organisation that an API key belongs to, and the key's priority. */
export interface KeyHolder {
  readonly organisation: string;
  /** Overrides the priority of the route; undefined leaves that in force. */
  readonly priority: number | undefined;
}

export interface ApiKeys {
  /** Holders by API key. Without any, no caller has access. */
  readonly holders: ReadonlyMap<string, KeyHolder>;
  /** False if some could not be read, so that an unknown key may be valid. */
  readonly isComplete: boolean;
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
  /** Scopes of routes that could not be read; their requests are refused. */
  readonly unreadableRoutes: readonly RouteScope[];
  readonly services: ReadonlyMap<string, Service>;
  /** Undefined only if the configuration does not mention keys at all. */
  readonly keys: ApiKeys | undefined;
  readonly limits: CallerLimits;
}
