/**
 * Generates the `tsconfig.json` of each package from its declared dependencies,
 * and checks manifests, layers, imports and the purity of `core` packages. With
 * `--check` it writes nothing and fails if a file is out of date.
 */

import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { join, relative } from "node:path";
import { listFiles, readPackages, ROOT } from "./workspace.mjs";

const LAYERS = ["core", "io", "testing"];
const PURE_LIBRARIES = new Set(["most", "fast-check", "valibot", "verror"]);
const IMPURE_CODE = [
  [/from "node:(?!test"|assert\/strict"|assert")/, "a Node.js module"],
  [/\bDate\.now\b|\bnew Date\(\)|\bperformance\.now\b/, "a clock"],
  [/\bset(Timeout|Interval|Immediate)\b/, "a timer"],
  [/\bMath\.random\b|\bcrypto\b/, "a random source"],
  [/\bprocess\.|\bfetch\(/, "the process or the network"],
];

const check = process.argv.includes("--check");
const packages = readPackages();
const byName = new Map(packages.map((pkg) => [pkg.name, pkg]));
const problems = packages.flatMap(checkPackage);
if (problems.length === 0) writeConfigs();
for (const problem of problems) console.error(problem);
if (problems.length > 0) process.exit(1);
console.log(`Workspace: ${packages.length} packages in order`);

function checkPackage(pkg) {
  return [
    ...checkManifest(pkg),
    ...checkLayer(pkg),
    ...checkImports(pkg),
    ...(pkg.layer === "core" ? checkPurity(pkg) : []),
  ];
}

function checkManifest(pkg) {
  const faults = [];
  if (!LAYERS.includes(pkg.layer)) {
    faults.push(`${pkg.path}: dandelionbank.layer must be one of ${LAYERS}`);
  }
  if (!pkg.manifest.description) faults.push(`${pkg.path}: no description`);
  if (!existsSync(join(pkg.folder, "README.md"))) {
    faults.push(`${pkg.path}: no README.md`);
  }
  return faults;
}

function checkLayer(pkg) {
  return pkg.dependencies.flatMap((name) => {
    const dependency = byName.get(name);
    if (dependency === undefined) return checkLibrary(pkg, name);
    if (pkg.layer === "core" && dependency.layer !== "core") {
      return [`${pkg.path}: core depends on ${dependency.layer} ${name}`];
    }
    if (pkg.layer === "io" && dependency.layer === "testing") {
      return [`${pkg.path}: product depends on testing package ${name}`];
    }
    return [];
  });
}

function checkLibrary(pkg, name) {
  if (pkg.layer !== "core" || PURE_LIBRARIES.has(name)) return [];
  return [`${pkg.path}: core depends on library ${name}`];
}

function checkImports(pkg) {
  const declared = new Set([
    ...pkg.dependencies,
    ...Object.keys(pkg.manifest.devDependencies ?? {}),
  ]);
  return listSources(pkg).flatMap((file) =>
    parseImports(file)
      .filter((name) => !declared.has(name) && name !== "fast-check")
      .map((name) => `${relative(ROOT, file)}: ${name} is not declared`)
  );
}

function parseImports(file) {
  const text = readFileSync(file, "utf8");
  return [
    ...text.matchAll(/(?:\bfrom\s+|\bimport\s+|\bimport\()"([^."][^"]*)"/g),
  ]
    .map((match) => match[1])
    .filter((name) => !name.startsWith("node:"))
    .map(toPackageName);
}

function toPackageName(specifier) {
  const depth = specifier.startsWith("@") ? 2 : 1;
  return specifier.split("/").slice(0, depth).join("/");
}

function checkPurity(pkg) {
  return listSources(pkg)
    .filter((file) => !file.endsWith("_test.ts"))
    .flatMap((file) => {
      const text = stripComments(readFileSync(file, "utf8"));
      return IMPURE_CODE
        .filter(([pattern]) => pattern.test(text))
        .map(([, what]) => `${relative(ROOT, file)}: core uses ${what}`);
    });
}

function stripComments(text) {
  return text.replace(/\/\*[\s\S]*?\*\//g, "").replace(/\/\/.*$/gm, "");
}

function listSources(pkg) {
  return listFiles(join(pkg.folder, "src"), ".ts");
}

function writeConfigs() {
  for (const pkg of packages) {
    writeConfig(join(pkg.folder, "tsconfig.json"), createPackageConfig(pkg));
  }
  writeConfig(join(ROOT, "tsconfig.json"), {
    files: [],
    references: packages.map((pkg) => ({ path: `./${pkg.path}` })),
  });
}

function createPackageConfig(pkg) {
  const references = [
    ...pkg.dependencies,
    ...Object.keys(pkg.manifest.devDependencies ?? {}),
  ].filter((name) => byName.has(name));
  return {
    extends: `${relative(pkg.folder, ROOT)}/tsconfig.base.json`,
    compilerOptions: { rootDir: "src", outDir: "dist" },
    include: ["src"],
    references: references.map((name) => ({
      path: relative(pkg.folder, byName.get(name).folder),
    })),
  };
}

function writeConfig(path, config) {
  const text = JSON.stringify(config, null, 2) + "\n";
  const current = existsSync(path)
    ? JSON.parse(readFileSync(path, "utf8"))
    : {};
  if (JSON.stringify(current) === JSON.stringify(config)) return;
  if (check) {
    problems.push(`${relative(ROOT, path)}: run npm run sync:workspace`);
    return;
  }
  writeFileSync(path, text);
}
