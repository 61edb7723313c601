/** Renders the HTML report. */
import { runName, summaryRows } from './describe.js';
import type { RunResult } from '../run/index.js';
import { renderCharts } from './charts.js';

const STYLE = `
  body { font-family: sans-serif; max-width: 60rem; margin: 2rem auto; color: #222; }
  table { border-collapse: collapse; }
  td, th { padding: 0.2rem 1rem 0.2rem 0; text-align: left; border-bottom: 1px solid #ddd; }
`;

/** Escapes text for HTML content and double-quoted attributes. */
export function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}

function renderTable(result: RunResult): string {
  const rows = summaryRows(result.summary).map(
    ([name, value]) => `<tr><td>${escapeHtml(name)}</td><td>${escapeHtml(value)}</td></tr>`,
  );
  return `<table>${rows.join('')}</table>`;
}

function renderRun(result: RunResult): string {
  const charts = renderCharts(result.series).map(
    ({ title, svg }) => `<h3>${escapeHtml(title)}</h3>${svg}`,
  );
  return `<h2>${escapeHtml(runName(result.summary))}</h2>${renderTable(result)}${charts.join('')}`;
}

/** Renders a self-contained HTML page with the figures and charts of all results. */
export function renderReport(results: readonly RunResult[]): string {
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Bench report</title><style>${STYLE}</style></head>
<body><h1>Bench report</h1>${results.map(renderRun).join('')}</body></html>
`;
}
