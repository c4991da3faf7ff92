/** Checks of settings against each other that entries and agents share. */

import { readFileSync } from "node:fs";
import { toFlagName, type ValuesOf } from "./definition.ts";
import { isWildcard, type ListenAddress } from "./listen_address.ts";
import type { PEER_SETTINGS } from "./process_settings.ts";
import { secretSetting } from "./setting_schemas.ts";
import * as v from "valibot";

type PeerValues = Partial<ValuesOf<typeof PEER_SETTINGS>>;

export interface SecretResult {
  readonly value?: string;
  readonly problems: readonly string[];
}

/** Resolves the shared secret from its text or its file; exactly one must be set. */
export function resolvePeerSecret(values: PeerValues): SecretResult {
  const { peerSecret, peerSecretFile } = values;
  if (!("peerSecret" in values)) return { problems: [] };
  if (peerSecret !== undefined && peerSecretFile !== undefined) {
    return refuse("--peer-secret: found --peer-secret-file too, expected one");
  }
  if (peerSecret !== undefined) return { value: peerSecret, problems: [] };
  if (peerSecretFile !== undefined) return readSecretFile(peerSecretFile);
  return refuse(
    "--peer-secret or DANDELIONBANK_PEER_SECRET: found nothing, expected it or --peer-secret-file",
  );
}

export interface AdvertisedUrl {
  /** Whether the URL is for callers or for peers. */
  readonly side: "caller" | "peer";
  readonly listen: ListenAddress | undefined;
  readonly url: string | undefined;
  readonly isTls: boolean;
}

/**
 * Checks the URL that other processes use to reach this one. A wildcard listen
 * address requires a URL, and its scheme must match the use of TLS.
 */
export function validateAdvertisedUrl(
  { side, listen, url, isTls }: AdvertisedUrl,
): readonly string[] {
  const urlFlag = `--${toFlagName(`${side}Url`)}`;
  if (url === undefined) {
    if (listen === undefined || !isWildcard(listen)) return [];
    return [
      `${urlFlag}: found nothing, expected a URL, since --${side}-listen is a wildcard address`,
    ];
  }
  const scheme = isTls ? "https" : "http";
  if (url.startsWith(`${scheme}://`)) return [];
  return [`${urlFlag}: found "${url}", expected an ${scheme} URL`];
}

function readSecretFile(path: string): SecretResult {
  try {
    const text = readFileSync(path, "utf8").trim();
    const result = v.safeParse(secretSetting(), text);
    if (result.success) return { value: text, problems: [] };
    return refuse(
      `--peer-secret-file: found a secret of ${text.length} characters, expected ${
        result.issues[0].message
      }`,
    );
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? "an error";
    return refuse(
      `--peer-secret-file: found ${code} on reading "${path}", expected a readable file`,
    );
  }
}

function refuse(problem: string): SecretResult {
  return { problems: [problem] };
}
