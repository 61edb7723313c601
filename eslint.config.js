// Airbnb rules for correctness and naming; Prettier alone owns the layout.
import { fileURLToPath } from 'node:url';
import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import { noInheritedProperties } from './tools/eslint/no-inherited-properties.js';

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'results/**', 'coverage/**', 'target/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        projectService: false,
        project: [
          './packages/*/tsconfig.json',
          './platform/tsconfig.json',
          './tsconfig.tests.json',
        ],
        tsconfigRootDir: fileURLToPath(new URL('.', import.meta.url)),
      },
    },
    rules: {
      // Named exports are the house style.
      'import-x/prefer-default-export': 'off',
      'import-x/no-default-export': 'error',
      // NodeNext resolution needs the extension of the compiled file.
      'import-x/extensions': 'off',
      'import-x/no-rename-default': 'off',
      '@typescript-eslint/consistent-type-imports': 'error',
      // Reducers copy and return state; loops with awaits are sequential on purpose where used.
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-continue': 'off',
      'no-await-in-loop': 'off',
      'no-plusplus': ['error', { allowForLoopAfterthoughts: true }],
      'no-underscore-dangle': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': ['error', { functions: false }],
      // Constant objects carry a type of the same name, in place of enums.
      '@typescript-eslint/no-redeclare': 'off',
      // A reducer's draft state is mutated inside its own process only.
      'no-param-reassign': ['error', { props: false }],
      'n/no-process-exit': 'off',
      'n/hashbang': 'off',
      'n/no-unsupported-features/node-builtins': [
        'error',
        { version: '>=20.20.0', allowExperimental: true },
      ],
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
      'max-lines-per-function': ['error', { max: 80, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    // Node resolves the linter's own files as they are; named exports are the house style.
    files: ['eslint.config.js', 'tools/**/*.js'],
    rules: { 'import-x/extensions': 'off', 'import-x/prefer-default-export': 'off' },
  },
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    plugins: {
      kingcupsill: { rules: { 'no-inherited-properties': noInheritedProperties } },
    },
    rules: { 'kingcupsill/no-inherited-properties': 'error' },
  },
  {
    files: ['packages/*/test/**/*.ts', 'platform/test/**/*.ts'],
    rules: {
      'max-lines-per-function': 'off',
      // node:test returns promises that the runner itself awaits.
      '@typescript-eslint/no-floating-promises': 'off',
      'import-x/no-extraneous-dependencies': 'off',
    },
  },
  {
    // oclif finds commands by their default export; it needs class methods without `this`.
    files: ['packages/cli/src/commands/**/*.ts', 'packages/bench/src/commands/**/*.ts'],
    rules: {
      'import-x/no-default-export': 'off',
      'class-methods-use-this': 'off',
    },
  },
];
