/** Sections of an INI file, each with its keys. */
export type IniFile = Record<string, Record<string, string>>;

export type IniOutcome = { ok: true; file: IniFile } | { ok: false; message: string };

/** Reads INI text: sections, `key = value` lines and comments. */
export const parseIni = (text: string): IniOutcome => {
  const file: IniFile = {};
  let section: Record<string, string> | undefined;
  const lines = text.split(/\r?\n/);
  for (const [index, line] of lines.entries()) {
    const trimmed = line.trim();
    if (trimmed === '' || /^[;#]/.test(trimmed)) continue;
    const name = /^\[([^\]]+)\]$/.exec(trimmed)?.[1];
    const pair = /^([^=]+)=(.*)$/.exec(trimmed);
    if (name !== undefined) {
      section = file[name] ?? {};
      file[name] = section;
    } else if (pair !== null && section !== undefined) {
      section[(pair[1] ?? '').trim()] = (pair[2] ?? '').trim();
    } else return { ok: false, message: `line ${index + 1} is neither a section nor a key` };
  }
  return { ok: true, file };
};
