/** Gathers the settings of one TLS side into one source, and checks them together. */

import type { PemSource, TlsSource } from "@dandelionbank/types";
import { toFlagName } from "./definition.ts";

type PemPart = "Cert" | "Key" | "Ca";
type PemName<Prefix extends string> = `${Prefix}${PemPart}${"File" | ""}`;

/** Settings without the single parts of TLS sources. */
export type WithoutPem<Values> = Omit<
  Values,
  Extract<keyof Values, PemName<"callerTls" | "peerTls">>
>;

export interface TlsSettings {
  readonly source: TlsSource | undefined;
  readonly problems: readonly string[];
}

type PemValues<Prefix extends string> = {
  readonly [Name in PemName<Prefix>]?: string | undefined;
};

/** A certificate needs a key; towards peers, both need an authority too. */
export function resolveTlsSource<Prefix extends "callerTls" | "peerTls">(
  prefix: Prefix,
  values: PemValues<Prefix>,
): TlsSettings {
  const texts: Readonly<Record<string, string | undefined>> = values;
  const certificate = findPem(`${prefix}Cert`, texts);
  const key = findPem(`${prefix}Key`, texts);
  const authority = findPem(`${prefix}Ca`, texts);
  const needed = prefix === "peerTls"
    ? [certificate, key, authority]
    : [certificate, key];
  const problems = [
    ...[certificate, key, authority].flatMap((pem) => pem.problems),
    ...findMissing(needed),
  ];
  if (!certificate.source || !key.source) {
    return { source: undefined, problems };
  }
  const source = {
    certificate: certificate.source,
    key: key.source,
    ...(authority.source && { authority: authority.source }),
  };
  return { source, problems };
}

interface PemSetting {
  readonly name: string;
  readonly source: PemSource | undefined;
  readonly problems: readonly string[];
}

function findPem(
  name: string,
  texts: Readonly<Record<string, string | undefined>>,
): PemSetting {
  const path = texts[`${name}File`];
  const text = texts[name];
  const flag = `--${toFlagName(name)}`;
  const problems = path !== undefined && text !== undefined
    ? [`${flag}: found ${flag}-file too, expected one`]
    : [];
  if (path !== undefined) {
    return { name, source: { kind: "file", path }, problems };
  }
  if (text !== undefined) {
    return { name, source: { kind: "text", text }, problems };
  }
  return { name, source: undefined, problems };
}

/** All of them or none. */
function findMissing(needed: readonly PemSetting[]): readonly string[] {
  const given = needed.find((pem) => pem.source !== undefined);
  if (given === undefined) return [];
  return needed.filter((pem) => pem.source === undefined).map((pem) => {
    const flag = `--${toFlagName(pem.name)}`;
    return `${flag} or ${flag}-file: found nothing, expected it with --${
      toFlagName(given.name)
    }`;
  });
}
